package status

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/fireflylanding/fireflylanding/internal/conf"
	"github.com/fireflylanding/fireflylanding/internal/plans"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

// Edit is a proposed new text of the list of plans or the list of uses.
type Edit struct {
	// List is the name of the list: plans or uses.
	List string `json:"list"`
	// Text is the complete new list in INI format.
	Text string `json:"text"`
}

// ValidationResult is the response of /v1/validate.
type ValidationResult struct {
	OK     bool    `json:"ok"`
	Faults []Fault `json:"faults"`
}

// Preview is the response of /v1/preview. Added, Removed and Changed are empty when the edit has faults.
type Preview struct {
	OK     bool    `json:"ok"`
	Faults []Fault `json:"faults"`
	List   string  `json:"list"`
	// Revision is the revision in force, which the edit is compared with.
	Revision uint64          `json:"revision"`
	Added    []SectionChange `json:"added"`
	Removed  []SectionChange `json:"removed"`
	Changed  []SectionChange `json:"changed"`
	// Warnings describe sections that are valid but have no effect.
	Warnings []string `json:"warnings"`
}

// SectionChange is the change of one plan or use.
type SectionChange struct {
	Section string        `json:"section"`
	Fields  []FieldChange `json:"fields"`
}

// FieldChange is the change of one key, with defaults applied. Old is empty for an added section and New for a removed one.
type FieldChange struct {
	Key string `json:"key"`
	Old string `json:"old"`
	New string `json:"new"`
}

// parseEdit returns the sections of an edit, or the conf.Faults for which a node would reject it.
func parseEdit(e Edit) (map[string]string, error) {
	sections, err := conf.Split(e.List, []byte(e.Text))
	if err != nil {
		return nil, err
	}
	if err := parseList(e.List, sections); err != nil {
		return nil, err
	}
	return sections, nil
}

func parseList(list string, sections map[string]string) error {
	if list == plans.PlansKey {
		_, err := plans.ParsePlans(0, sections)
		return err
	}
	_, err := plans.ParseUses(0, sections)
	return err
}

func validate(e Edit) ValidationResult {
	_, err := parseEdit(e)
	return ValidationResult{OK: err == nil, Faults: NewFaults(e.List, err)}
}

// preview compares an edit with the list in force.
func preview(e Edit, source Source) (Preview, error) {
	lists := source.Lists()
	p := newPreview(e.List, listRevision(e.List, lists))
	proposed, err := parseEdit(e)
	if err != nil {
		p.Faults = NewFaults(e.List, err)
		return p, nil
	}
	p.OK = true
	inForce := source.Sections(e.List)
	for _, name := range sectionNames(inForce, proposed) {
		if err := p.addSectionChange(name, inForce, proposed); err != nil {
			return Preview{}, err
		}
	}
	p.Warnings = unknownPlanWarnings(e.List, lists, proposed)
	return p, nil
}

// newPreview returns a preview without changes. Its slices are encoded in JSON as empty arrays and not as null.
func newPreview(list string, revision uint64) Preview {
	return Preview{
		List:     list,
		Revision: revision,
		Faults:   []Fault{},
		Added:    []SectionChange{},
		Removed:  []SectionChange{},
		Changed:  []SectionChange{},
		Warnings: []string{},
	}
}

func listRevision(list string, lists *plans.Lists) uint64 {
	if list == plans.PlansKey {
		return lists.PlansRevision()
	}
	return lists.UsesRevision()
}

// sectionNames returns the sorted names of the sections of all documents, without duplicates.
func sectionNames(documents ...map[string]string) []string {
	var names []string
	for _, document := range documents {
		for name := range document {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// addSectionChange adds the change of a section to the preview if there is one.
func (p *Preview) addSectionChange(name string, inForce, proposed map[string]string) error {
	oldBody, hadOld := inForce[name]
	newBody, hasNew := proposed[name]
	oldValues, err := fieldValues(p.List, name, oldBody, hadOld)
	if err != nil {
		return err
	}
	newValues, err := fieldValues(p.List, name, newBody, hasNew)
	if err != nil {
		return err
	}
	change := SectionChange{Section: name, Fields: fieldChanges(p.List, oldValues, newValues)}
	switch {
	case !hadOld:
		p.Added = append(p.Added, change)
	case !hasNew:
		p.Removed = append(p.Removed, change)
	case len(change.Fields) > 0:
		p.Changed = append(p.Changed, change)
	}
	return nil
}

// newSection returns an empty message for a section of the list.
func newSection(list string) proto.Message {
	if list == plans.PlansKey {
		return &wire.PlanSection{}
	}
	return &wire.UseSection{}
}

// fieldValues returns the values of a section by key, with defaults applied. The result is empty when the section is absent.
func fieldValues(list, name, body string, present bool) (map[string]string, error) {
	values := make(map[string]string)
	if !present {
		return values, nil
	}
	section := newSection(list)
	if err := conf.Decode(list, name, body, section); err != nil {
		return nil, err
	}
	message := section.ProtoReflect()
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		values[string(fields.Get(i).Name())] = formatValue(message.Get(fields.Get(i)))
	}
	return values, nil
}

func formatValue(value protoreflect.Value) string {
	if number, ok := value.Interface().(float64); ok {
		return strconv.FormatFloat(number, 'f', -1, 64)
	}
	return value.String()
}

// fieldChanges returns the keys whose values differ, in the order of the schema.
func fieldChanges(list string, oldValues, newValues map[string]string) []FieldChange {
	var changes []FieldChange
	fields := newSection(list).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		key := string(fields.Get(i).Name())
		if oldValues[key] != newValues[key] {
			changes = append(changes, FieldChange{Key: key, Old: oldValues[key], New: newValues[key]})
		}
	}
	return changes
}

// unknownPlanWarnings returns a warning for each proposed use whose plan is not in force.
func unknownPlanWarnings(list string, lists *plans.Lists, proposed map[string]string) []string {
	all := []string{}
	if list != plans.UsesKey {
		return all
	}
	for _, name := range sectionNames(proposed) {
		plan, _, _ := strings.Cut(name, "/")
		if _, ok := lists.Plan(plan); !ok {
			all = append(all, fmt.Sprintf("[%s] has no effect: plan %s is not in the list of plans in force", name, plan))
		}
	}
	return all
}
