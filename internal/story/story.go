// Package story tells what happened to one request from the log lines of several nodes: the request's own lines, and what each node
// believed of its surroundings then.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// surroundings are the events that change what a node believes, by their number.
var surroundings = map[int]bool{
	100: true, 101: true, 102: true, 103: true, 104: true, 105: true, 106: true,
	203: true, 204: true, 206: true, 208: true, 209: true, 210: true, 211: true, 212: true,
	505: true,
}

// line is a log line.
type line struct {
	At      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Event   int       `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	fields  map[string]any
}

// lately is how far back changes of a node's surroundings belong to the story of a request.
const lately = 30 * time.Second

// maxBefore bounds the lines before a request's own for each node.
const maxBefore = 8

// ErrRequestNotFound is the error for a request that no line names: it was served whole by the first attempts, or its lines are elsewhere.
var ErrRequestNotFound = errors.New("no line names the request")

// Explain reads log lines and writes the story of a request. Its errors are ErrUnknown and those of reading and writing. Lines that are no
// JSON objects are passed over.
func Explain(w io.Writer, request string, logs ...io.Reader) error {
	var lines []line
	for _, log := range logs {
		read, err := readLines(log)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	var own []line
	for _, l := range lines {
		if l.Request == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return ErrRequestNotFound
	}
	for _, l := range own {
		if err := tellOne(w, l, before(lines, l)); err != nil {
			return err
		}
	}
	return nil
}

func readLines(r io.Reader) ([]line, error) {
	var lines []line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		// A collector may have put a time or a name before the object.
		start := strings.IndexByte(string(text), '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(text[start:], &l) != nil || json.Unmarshal(text[start:], &l.fields) != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// before returns what the node of a line learned lately before it.
func before(lines []line, own line) []line {
	var found []line
	for _, l := range lines {
		if l.Node != own.Node || !surroundings[l.Event] || l.At.After(own.At) || own.At.Sub(l.At) > lately {
			continue
		}
		found = append(found, l)
	}
	return found[max(0, len(found)-maxBefore):]
}

func tellOne(w io.Writer, own line, before []line) error {
	out := &printer{w: w}
	out.printf("%s at %s: %s\n", own.Request, own.Node, own.Message)
	out.printf("  route %v by version %v, ended at %s after %v of %v ms\n",
		own.fields["route"], own.fields["version"], own.At.UTC().Format("15:04:05.000"), number(own.fields["took"]), number(own.fields["patience"]))
	out.printf("  reason %v, surely not run: %v, shards %v, missing %v %v\n",
		own.fields["reason"], own.fields["not_run"], number(own.fields["shards"]), number(own.fields["missing"]), own.fields["services_missing"])
	attempts, _ := own.fields["attempts"].([]any)
	out.printf("  %v attempts sent, of which these were repeated or did not reply:\n", number(own.fields["attempts_sent"]))
	for _, a := range attempts {
		if attempt, ok := a.(map[string]any); ok {
			out.attempt(attempt)
		}
	}
	out.printf("  what %s had learned before:\n", own.Node)
	for _, l := range before {
		out.printf("    %6.1f s before: %s%s\n", own.At.Sub(l.At).Seconds(), l.Message, details(l))
	}
	return out.err
}

// printer keeps the first error of writing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, values...)
	}
}

func (p *printer) attempt(a map[string]any) {
	cause := "first attempt"
	if c, ok := a["cause"]; ok {
		cause = fmt.Sprintf("after %v", c)
	}
	stalled := ""
	if a["stalled"] == true {
		stalled = ", known to be stalled"
	}
	p.printf("    at %v ms to %v of %v (%s; expected %v ms%s): %v", number(a["at"]), a["searcher"], a["service"], cause,
		number(a["expected"]), stalled, a["result"])
	if took, ok := a["took"]; ok {
		p.printf(" after %v ms", number(took))
	}
	p.printf("\n")
}

// number shows a JSON number with one decimal at most.
func number(value any) string {
	f, ok := value.(float64)
	if !ok {
		return "?"
	}
	return strings.TrimSuffix(fmt.Sprintf("%.1f", f), ".0")
}

// details shows the fields of a line that are its own.
func details(l line) string {
	var names []string
	for name := range l.fields {
		switch name {
		case "ts", "level", "msg", "event", "node":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.fields[name])
	}
	return text
}
