package main

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/fireflylanding/fireflylanding/internal/events"
	"github.com/fireflylanding/fireflylanding/internal/reason"
	"github.com/fireflylanding/fireflylanding/internal/wire"
)

const generatedNote = "Generated from the schema by `go run ./internal/events/gendoc`; do not edit.\n\n"

// emptyCell is the text of an empty table cell.
const emptyCell = "–"

// pages returns the generated pages, keyed by file name.
func pages() map[string]string {
	return map[string]string{
		"EVENTS.md":   eventsPage(),
		"REASONS.md":  reasonsPage(),
		"SETTINGS.md": settingsPage(),
	}
}

func eventsPage() string {
	var page strings.Builder
	page.WriteString("# Log events\n\n" + generatedNote)
	page.WriteString("Each log line contains the number of its event in the field `event`. Numbers are never reused.\n\n")
	page.WriteString("| number | level | text | action |\n| --- | --- | --- | --- |\n")
	values := wire.Event(0).Descriptor().Values()
	for i := range values.Len() {
		number := values.Get(i).Number()
		if number == 0 {
			continue
		}
		info := events.Info(wire.Event(number))
		fmt.Fprintf(&page, "| %d | %s | %s | %s |\n", number, info.GetLevel(), info.GetText(), formatCell(info.GetAction()))
	}
	return page.String()
}

func reasonsPage() string {
	var page strings.Builder
	page.WriteString("# Reasons of refusals, losses and retries\n\n" + generatedNote)
	page.WriteString("The run state tells whether work that ended with the reason was run: `run`, `not_run`, or `unknown` when it may or\n" +
		"may not have run. Reasons about retries and hedges have no run state. Each reason has a counter of the same name.\n\n")
	page.WriteString("| number | name | run state | text |\n| --- | --- | --- | --- |\n")
	values := wire.Reason(0).Descriptor().Values()
	for i := range values.Len() {
		r := wire.Reason(values.Get(i).Number())
		if r == wire.Reason_REASON_UNSPECIFIED {
			continue
		}
		fmt.Fprintf(&page, "| %d | `%s` | %s | %s |\n", r, reason.Name(r), formatRunState(reason.RunState(r)), reason.Text(r))
	}
	return page.String()
}

func formatRunState(s wire.RunState) string {
	if s == wire.RunState_RUN_STATE_UNSPECIFIED {
		return emptyCell
	}
	return "`" + strings.ToLower(strings.TrimPrefix(s.String(), "RUN_STATE_")) + "`"
}

// documentSection describes one kind of section in a document of the configuration service.
type documentSection struct {
	document string
	name     string
	message  proto.Message
}

func documentSections() []documentSection {
	return []documentSection{
		{document: "plans", name: "NAME", message: &wire.PlanSection{}},
		{document: "uses", name: "PLAN/COLLECTION", message: &wire.UseSection{}},
		{document: "vms/REGION", name: "ID", message: &wire.VMSection{}},
		{document: "index/COLLECTION", name: "searcher ID", message: &wire.SearcherSection{}},
		{document: "index/COLLECTION", name: "snapshot VERSION", message: &wire.SnapshotSection{}},
		{document: "index/COLLECTION", name: "shard VERSION/N", message: &wire.ShardSection{}},
	}
}

func settingsPage() string {
	var page strings.Builder
	page.WriteString("# Settings and documents\n\n" + generatedNote)
	page.WriteString("All files are in INI format. Lists are comma-separated. Durations are written like `250ms`, `30s` or `5m`.\n\n")
	page.WriteString("## Settings of a node\n")
	sections := (&wire.Settings{}).ProtoReflect().Descriptor().Fields()
	for i := range sections.Len() {
		writeSection(&page, string(sections.Get(i).Name()), sections.Get(i).Message())
	}
	document := ""
	for _, section := range documentSections() {
		if section.document != document {
			document = section.document
			fmt.Fprintf(&page, "\n## Document `%s`\n", document)
		}
		writeSection(&page, section.name, section.message.ProtoReflect().Descriptor())
	}
	return page.String()
}

func writeSection(page *strings.Builder, name string, message protoreflect.MessageDescriptor) {
	fmt.Fprintf(page, "\n### `[%s]`\n\n", name)
	page.WriteString("| key | kind | default | bounds | text |\n| --- | --- | --- | --- | --- |\n")
	fields := message.Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		key := proto.GetExtension(field.Options(), wire.E_Key).(*wire.Key)
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", field.Name(), formatKind(field), formatDefault(key), formatBounds(key), key.GetText())
	}
}

func formatKind(field protoreflect.FieldDescriptor) string {
	if field.IsList() {
		return "list of texts"
	}
	switch field.Kind() {
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.Uint32Kind:
		return "whole number"
	case protoreflect.DoubleKind:
		return "number"
	case protoreflect.MessageKind:
		return "duration"
	default:
		return "text"
	}
}

func formatDefault(key *wire.Key) string {
	if key.GetRequired() {
		return "required"
	}
	return formatCell(key.GetDefault())
}

func formatBounds(key *wire.Key) string {
	if allowed := key.GetOneOf(); len(allowed) > 0 {
		return strings.Join(allowed, ", ")
	}
	if key.GetMin() == "" && key.GetMax() == "" {
		return emptyCell
	}
	return key.GetMin() + " to " + key.GetMax()
}

func formatCell(text string) string {
	if text == "" {
		return emptyCell
	}
	return text
}
