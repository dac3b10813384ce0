// Package story reconstructs what happened to a request from the log lines of several nodes. For each line of the request it shows
// the preceding events that changed what the node knew of the fleet and the platform.
package story

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// contextEvents are the numbers of the events that change what a node knows of the fleet and the platform.
var contextEvents = map[int]bool{
	100: true, 101: true, 102: true, 103: true, 104: true, 105: true, 106: true,
	203: true, 204: true, 206: true, 208: true, 209: true, 210: true, 211: true, 212: true,
	505: true,
}

// replyMalformed is the number of the event of a reply that was no valid response.
const replyMalformed = 407

// logLine is a parsed log line.
type logLine struct {
	At      time.Time `json:"ts"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Event   int       `json:"event"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	// Fingerprint identifies repetitions of a request; Fingerprints are those of the requests that a searcher was running.
	Fingerprint  string   `json:"fingerprint"`
	Fingerprints []string `json:"fingerprints"`
	fields       map[string]any
}

// contextWindow is the time before a line of the request within which the context events of its node are shown.
const contextWindow = 30 * time.Second

// maxContextLines is the maximum number of context events shown for each line of the request.
const maxContextLines = 8

// ErrRequestNotFound is the error for a request that no log line mentions. Either its first attempts served it completely, or its
// lines are in other logs.
var ErrRequestNotFound = errors.New("no log line mentions the request")

// Explain reads log lines and writes a report on the request. It returns ErrRequestNotFound, or an error of reading or writing. It
// skips lines without a JSON object.
func Explain(w io.Writer, request string, logs ...io.Reader) error {
	var lines []logLine
	for _, log := range logs {
		read, err := readLines(log)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	var own, malformed []logLine
	for _, l := range lines {
		switch {
		case l.Request != request:
		case l.Event == replyMalformed:
			malformed = append(malformed, l)
		default:
			own = append(own, l)
		}
	}
	if len(own)+len(malformed) == 0 {
		return ErrRequestNotFound
	}
	for _, l := range own {
		if err := writeRequest(w, l, contextBefore(lines, l), crashesBefore(lines, l)); err != nil {
			return err
		}
	}
	return writeMalformed(w, malformed)
}

// writeMalformed writes the malformed replies to a request.
func writeMalformed(w io.Writer, replies []logLine) error {
	out := &printer{w: w}
	if len(replies) > 0 {
		out.printf("  replies to it that were no valid HTTP responses:\n")
	}
	for _, l := range replies {
		out.printf("    %s at %s from %v: %v\n", l.At.UTC().Format("15:04:05.000"), l.Node, l.fields["searcher"], l.fields["error"])
	}
	return out.err
}

func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		// A log collector may have put a time or a name in front of the object.
		start := strings.IndexByte(string(text), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(text[start:], &l) != nil || json.Unmarshal(text[start:], &l.fields) != nil {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// contextBefore returns the last context events of the line's node within contextWindow before it.
func contextBefore(lines []logLine, own logLine) []logLine {
	var found []logLine
	for _, l := range lines {
		if l.Node != own.Node || !contextEvents[l.Event] || l.At.After(own.At) || own.At.Sub(l.At) > contextWindow {
			continue
		}
		found = append(found, l)
	}
	return found[max(0, len(found)-maxContextLines):]
}

// maxCrashLines is the maximum number of lines on crashes shown for each line of the request.
const maxCrashLines = 16

// crashesBefore returns the first and the last lines of all nodes on crashes under the same request, whichever ids it had, before the line.
func crashesBefore(lines []logLine, own logLine) []logLine {
	var found []logLine
	for _, l := range lines {
		same := l.Fingerprint == own.Fingerprint || slices.Contains(l.Fingerprints, own.Fingerprint)
		if own.Fingerprint != "" && same && l.Request == "" && !l.At.After(own.At) {
			found = append(found, l)
		}
	}
	if len(found) > maxCrashLines {
		// The first lines show the cause, and the last ones the trials and the end of a quarantine.
		found = slices.Delete(found, maxCrashLines/2, len(found)-maxCrashLines/2)
	}
	return found
}

func writeRequest(w io.Writer, own logLine, before, crashes []logLine) error {
	out := &printer{w: w}
	out.printf("%s at %s: %s\n", own.Request, own.Node, own.Message)
	out.printf("  route %v by version %v, ended at %s after %v of %v ms\n",
		own.fields["route"], own.fields["version"], own.At.UTC().Format("15:04:05.000"), formatNumber(own.fields["took"]), formatNumber(own.fields["patience"]))
	out.printf("  reason %v, surely not run: %v, shards %v, missing %v %v\n",
		own.fields["reason"], own.fields["not_run"], formatNumber(own.fields["shards"]), formatNumber(own.fields["missing"]), own.fields["services_missing"])
	attempts, _ := own.fields["attempts"].([]any)
	out.printf("  %v attempts sent, of which these were repeated or did not reply:\n", formatNumber(own.fields["attempts_sent"]))
	for _, a := range attempts {
		if attempt, ok := a.(map[string]any); ok {
			out.printAttempt(attempt)
		}
	}
	out.printf("  what %s had learned before:\n", own.Node)
	for _, l := range before {
		out.printf("    %6.1f s before: %s%s\n", own.At.Sub(l.At).Seconds(), l.Message, formatFields(l))
	}
	if len(crashes) > 0 {
		out.printf("  what was known of crashes under this request, fingerprint %s:\n", own.Fingerprint)
	}
	for _, l := range crashes {
		out.printf("    %6.1f s before, %s: %s%s\n", own.At.Sub(l.At).Seconds(), l.Node, l.Message, formatFields(l))
	}
	return out.err
}

// printer writes formatted text and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, values ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, values...)
	}
}

func (p *printer) printAttempt(a map[string]any) {
	cause := "first attempt"
	if c, ok := a["cause"]; ok {
		cause = fmt.Sprintf("after %v", c)
	}
	stalled := ""
	if a["stalled"] == true {
		stalled = ", known to be stalled"
	}
	p.printf("    at %v ms to %v of %v (%s; expected %v ms%s): %v", formatNumber(a["at"]), a["searcher"], a["service"], cause,
		formatNumber(a["expected"]), stalled, a["result"])
	if waited, ok := a["waited"]; ok {
		p.printf(", waited %v ms for a connection", formatNumber(waited))
	}
	if took, ok := a["took"]; ok {
		p.printf(" after %v ms", formatNumber(took))
	}
	p.printf("\n")
}

// formatNumber formats a JSON number with at most one decimal.
func formatNumber(value any) string {
	f, ok := value.(float64)
	if !ok {
		return "?"
	}
	return strings.TrimSuffix(fmt.Sprintf("%.1f", f), ".0")
}

// formatFields formats the fields of a line that are specific to its event.
func formatFields(l logLine) string {
	var names []string
	for name := range l.fields {
		switch name {
		case "ts", "level", "msg", "event", "node", "fingerprint":
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
