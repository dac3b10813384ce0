package relay

import (
	"strings"
	"testing"
)

// record returns a record that begins with the given letter.
func record(letter string) string { return letter + strings.Repeat("0", recordBytes-1) }

// Guards against an answer that does not consist of the greatest records of all parts in descending order.
func TestMergeTop(t *testing.T) {
	tests := map[string]struct {
		bodies []string
		top    int
		want   string
	}{
		"greatest of all parts":             {bodies: []string{record("a") + record("d"), record("c") + record("b")}, top: 3, want: record("d") + record("c") + record("b")},
		"equal records are all kept":        {bodies: []string{record("b") + record("b"), record("b")}, top: 2, want: record("b") + record("b")},
		"fewer records than asked for":      {bodies: []string{record("a")}, top: 5, want: record("a")},
		"incomplete last record is ignored": {bodies: []string{record("a") + "zzzz"}, top: 5, want: record("a")},
		"empty part":                        {bodies: []string{"", record("a")}, top: 1, want: record("a")},
		"bytes above 127":                   {bodies: []string{record("a"), record("\xff")}, top: 1, want: record("\xff")},
		"no records":                        {bodies: []string{"", "short"}, top: 3, want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var bodies [][]byte
			for _, body := range test.bodies {
				bodies = append(bodies, []byte(body))
			}
			if got := string(mergeTop(bodies, test.top)); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
