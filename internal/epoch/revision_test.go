package epoch

import "testing"

// Guards against an order in which a revision that is given out again after a restore counts as known.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		earlier, later [2]uint64
	}{
		"within an era":                   {earlier: [2]uint64{1, 58}, later: [2]uint64{1, 59}},
		"lower number in a later era":     {earlier: [2]uint64{1, 59}, later: [2]uint64{2, 1}},
		"same number in a later era":      {earlier: [2]uint64{1, 59}, later: [2]uint64{2, 59}},
		"greatest number in an early era": {earlier: [2]uint64{0, maxNumber}, later: [2]uint64{1, 0}},
		"store without eras":              {earlier: [2]uint64{0, 1}, later: [2]uint64{0, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			earlier, err := New(test.earlier[0], test.earlier[1])
			if err != nil {
				t.Fatal(err)
			}
			later, err := New(test.later[0], test.later[1])
			if err != nil {
				t.Fatal(err)
			}
			if later <= earlier {
				t.Errorf("got %v not after %v", later, earlier)
			}
			if got, want := [2]uint64{later.Era(), later.Number()}, test.later; got != want {
				t.Errorf("got era and number %v, want %v", got, want)
			}
		})
	}
}

// Guards against numbers that run into the era.
func TestOutOfRange(t *testing.T) {
	for name, revision := range map[string][2]uint64{"number": {1, maxNumber + 1}, "era": {maxEra + 1, 1}} {
		t.Run(name, func(t *testing.T) {
			if got, err := New(revision[0], revision[1]); err == nil {
				t.Errorf("got %v, want an error", got)
			}
		})
	}
}
