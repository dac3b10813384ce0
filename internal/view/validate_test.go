package view

import "testing"

// TestValidate guards against documents that come into force although the roles cannot use them.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		key      string
		sections map[string]string
		want     bool
	}{
		"plan":             {"plans", map[string]string{"p": "customer = c\nrank = urgent\nweight = 1\n"}, true},
		"plan, bad rank":   {"plans", map[string]string{"p": "customer = c\nrank = highest\n"}, false},
		"use, bad name":    {"uses", map[string]string{"p": "queries_per_second = 1\nconcurrent = 1\n"}, false},
		"VM, other region": {"vms/r", map[string]string{"s": "kind = searcher\naddress = 127.0.0.1:1\nregion = q\navailability_zone = a\n"}, false},
		"VM":               {"vms/r", map[string]string{"s": "kind = searcher\naddress = 127.0.0.1:1\nregion = r\navailability_zone = a\n"}, true},
		"index, empty":     {"index/c", map[string]string{}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if err := NewBuilder([]string{"r"}).Validate(test.key, 1, test.sections); (err == nil) != test.want {
				t.Errorf("got %v, want valid %v", err, test.want)
			}
		})
	}
}
