// Package conf parses INI documents into messages of the schema. Defaults, bounds and descriptions of the keys come from the schema. A
// fault states the file, section and key that it concerns, as far as they are known.
package conf

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gopkg.in/ini.v1"

	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// loadOptions makes the INI library keep duplicates, so that they can be reported instead of being merged silently.
var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowNonUniqueSections:     true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	SkipUnrecognizableLines:    false,
	IgnoreInlineComment:        false,
}

// Split returns the bodies of the sections of an INI document by name. A body is in canonical form: one "key = value" line per key, in
// sorted order. Split returns Faults if the document is not valid INI, repeats a section or a key, has a key outside of all sections, or
// has a key or value that the canonical form can't represent.
func Split(file string, data []byte) (map[string]string, error) {
	parsed, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, Faults{newSyntaxFault(file, "", err)}
	}
	var faults Faults
	sections := make(map[string]string)
	for _, section := range parsed.Sections() {
		name := section.Name()
		if name == ini.DefaultSection {
			faults = append(faults, keysOutsideSections(file, section)...)
			continue
		}
		if _, ok := sections[name]; ok {
			faults = append(faults, NewFault(file, name, "", "section appears twice"))
			continue
		}
		if name != strings.TrimSpace(name) {
			faults = append(faults, NewFault(file, name, "", "section name begins or ends with a space"))
		}
		body, found := canonicalBody(file, section)
		faults = append(faults, found...)
		sections[name] = body
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return sections, nil
}

// newSyntaxFault returns the fault for an error of the INI library.
func newSyntaxFault(file, section string, err error) Fault {
	return NewFault(file, section, "", strings.TrimSpace(err.Error()))
}

// keysOutsideSections returns a fault for each key before the first section. The INI library puts these keys into a section of their own.
func keysOutsideSections(file string, section *ini.Section) Faults {
	var faults Faults
	for _, key := range section.Keys() {
		faults = append(faults, NewFault(file, section.Name(), key.Name(), "key is outside of all sections"))
	}
	return faults
}

// canonicalBody returns the body of a section in canonical form, and the faults of its keys.
func canonicalBody(file string, section *ini.Section) (string, Faults) {
	var faults Faults
	lines := make([]string, 0, len(section.Keys()))
	for _, key := range section.Keys() {
		line := key.Name() + " = " + key.Value() + "\n"
		if len(key.ValueWithShadows()) > 1 {
			faults = append(faults, NewFault(file, section.Name(), key.Name(), "key appears twice"))
		}
		if !roundTrips(key, line) {
			faults = append(faults, NewFault(file, section.Name(), key.Name(),
				"key or value has a space, line break, quotation mark, comment sign or backslash in a place where it would be lost"))
		}
		lines = append(lines, line)
	}
	sort.Strings(lines)
	return strings.Join(lines, ""), faults
}

// specialInKey and specialInValue hold the characters that have a special meaning to the INI library in a key and in a value.
const (
	specialInKey   = "\r\n\"'`#;\\[=:-"
	specialInValue = "\r\n\"'`#;\\"
)

// roundTrips reports whether parsing the canonical line of a key yields the same key and value again. Without this check, a quoted value
// could be truncated or could add keys to its section on the nodes that receive the canonical form.
func roundTrips(key *ini.Key, line string) bool {
	name, value := key.Name(), key.Value()
	if name != strings.TrimSpace(name) || value != strings.TrimSpace(value) {
		return false
	}
	if !strings.ContainsAny(name, specialInKey) && !strings.ContainsAny(value, specialInValue) {
		return true
	}
	reparsed, err := ini.LoadSources(loadOptions, []byte(line+followingLine))
	if err != nil {
		return false
	}
	reparsedValues := reparsed.Section(ini.DefaultSection).KeysHash()
	reparsedValue, ok := reparsedValues[name]
	return ok && reparsedValue == value && len(reparsedValues) == 2
}

// followingLine represents the key after the one that is checked. A value that ends in a backslash would absorb it.
const followingLine = "next-line = 1\n"

// Decode parses the canonical body of one section into a message whose fields have the key option. Keys that are missing or empty get their
// default. It returns Faults for unknown keys, missing required keys, and values that are malformed or out of bounds.
func Decode(file, section, body string, into proto.Message) error {
	parsed, err := ini.LoadSources(loadOptions, []byte(body))
	if err != nil {
		return Faults{newSyntaxFault(file, section, err)}
	}
	values := parsed.Section(ini.DefaultSection).KeysHash()
	message := into.ProtoReflect()
	fields := message.Descriptor().Fields()
	var faults Faults
	for i := range fields.Len() {
		field := fields.Get(i)
		name := string(field.Name())
		value, given := values[name]
		delete(values, name)
		if problem := setField(message, field, value, given); problem != "" {
			faults = append(faults, NewFault(file, section, name, problem))
		}
	}
	for name := range values {
		faults = append(faults, NewFault(file, section, name, "unknown key"))
	}
	return faults.Err()
}

// Load parses and validates the settings of a node.
func Load(file string, data []byte) (*wire.Settings, error) {
	sections, err := Split(file, data)
	if err != nil {
		return nil, err
	}
	settings := &wire.Settings{}
	message := settings.ProtoReflect()
	fields := message.Descriptor().Fields()
	var faults Faults
	for i := range fields.Len() {
		field := fields.Get(i)
		name := string(field.Name())
		body := sections[name]
		delete(sections, name)
		if err := Decode(file, name, body, message.Mutable(field).Message().Interface()); err != nil {
			faults = faults.AppendError(err)
		}
	}
	for name := range sections {
		faults = append(faults, NewFault(file, name, "", "unknown section"))
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	return settings, nil
}

// setField parses and sets one field. It returns a description of the problem with the value, or an empty string.
func setField(message protoreflect.Message, field protoreflect.FieldDescriptor, value string, given bool) string {
	key := proto.GetExtension(field.Options(), wire.E_Key).(*wire.Key)
	if !given || value == "" {
		if key.GetRequired() {
			return "required key is missing (" + key.GetText() + ")"
		}
		value = key.GetDefault()
		if value == "" {
			return ""
		}
	}
	if allowed := key.GetOneOf(); len(allowed) > 0 && !slices.Contains(allowed, value) {
		return fmt.Sprintf("%q is not one of %s", value, strings.Join(allowed, ", "))
	}
	if field.IsList() {
		return setList(message, field, value)
	}
	parsed, problem := parseScalar(field, value)
	if problem != "" {
		return problem
	}
	if problem := checkBounds(field, key, value); problem != "" {
		return problem
	}
	message.Set(field, parsed)
	return ""
}

// setList sets a list field from comma-separated items, and returns the problem as setField does.
func setList(message protoreflect.Message, field protoreflect.FieldDescriptor, value string) string {
	list := message.Mutable(field).List()
	for _, item := range strings.Split(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			return "list has an empty item"
		}
		list.Append(protoreflect.ValueOfString(item))
	}
	return ""
}

// parseScalar parses a value for a field that is not a list, and returns the problem as setField does.
func parseScalar(field protoreflect.FieldDescriptor, value string) (protoreflect.Value, string) {
	switch field.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(value), ""
	case protoreflect.BoolKind:
		if parsed, err := strconv.ParseBool(value); err == nil {
			return protoreflect.ValueOfBool(parsed), ""
		}
		return protoreflect.Value{}, fmt.Sprintf("%q is not true or false", value)
	case protoreflect.Uint32Kind:
		if parsed, err := strconv.ParseUint(value, 10, 32); err == nil {
			return protoreflect.ValueOfUint32(uint32(parsed)), ""
		}
		return protoreflect.Value{}, fmt.Sprintf("%q is not a whole number", value)
	case protoreflect.DoubleKind:
		if parsed, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(parsed) {
			return protoreflect.ValueOfFloat64(parsed), ""
		}
		return protoreflect.Value{}, fmt.Sprintf("%q is not a number", value)
	case protoreflect.MessageKind:
		if parsed, err := time.ParseDuration(value); err == nil {
			return protoreflect.ValueOfMessage(durationpb.New(parsed).ProtoReflect()), ""
		}
		return protoreflect.Value{}, fmt.Sprintf("%q is not a duration such as 250ms or 30s", value)
	default:
		return protoreflect.Value{}, "the schema has no INI notation for this key"
	}
}

// checkBounds checks a value against the minimum and maximum of its key, and returns the problem as setField does.
func checkBounds(field protoreflect.FieldDescriptor, key *wire.Key, value string) string {
	number, ok := numericValue(field, value)
	if !ok {
		return ""
	}
	if low, ok := numericValue(field, key.GetMin()); ok && number < low {
		return fmt.Sprintf("%s is below the minimum %s", value, key.GetMin())
	}
	if high, ok := numericValue(field, key.GetMax()); ok && number > high {
		return fmt.Sprintf("%s is above the maximum %s", value, key.GetMax())
	}
	return ""
}

// numericValue returns a value as a number for comparison with the bounds of its key, with durations in nanoseconds. It returns false if the
// value is empty, malformed or not of a numeric kind.
func numericValue(field protoreflect.FieldDescriptor, value string) (float64, bool) {
	if value == "" {
		return 0, false
	}
	switch field.Kind() {
	case protoreflect.Uint32Kind, protoreflect.DoubleKind:
		number, err := strconv.ParseFloat(value, 64)
		return number, err == nil
	case protoreflect.MessageKind:
		duration, err := time.ParseDuration(value)
		return float64(duration), err == nil
	default:
		return 0, false
	}
}
