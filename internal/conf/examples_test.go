package conf_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/fireflylanding/fireflylanding/internal/conf"
)

// Guards against example settings that a node would reject, that use development keys, or whose lists of regions differ from those of the
// customer, and against regions without settings.
func TestExampleSettings(t *testing.T) {
	tests := map[string]struct {
		regions []string
	}{
		"nykterida": {regions: []string{"Attica", "Makedonia", "Kriti"}},
		"swanline":  {regions: []string{"Perth", "Bunbury", "Geraldton"}},
	}
	for customer, test := range tests {
		t.Run(customer, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join("..", "..", "examples", customer, "node-*.ini"))
			if err != nil {
				t.Fatal(err)
			}
			var regions []string
			for _, file := range files {
				regions = append(regions, loadRegion(t, file, test.regions))
			}
			slices.Sort(regions)
			want := slices.Sorted(slices.Values(test.regions))
			if !slices.Equal(regions, want) {
				t.Errorf("regions with settings: got %v, want %v", regions, want)
			}
		})
	}
}

// loadRegion loads and checks an example, and returns the region of its node.
func loadRegion(t *testing.T, file string, wantRegions []string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := conf.Load(file, data)
	if err != nil {
		t.Fatal(err)
	}
	if got := settings.GetNode().GetRegions(); !slices.Equal(got, wantRegions) {
		t.Errorf("%s: regions: got %v, want %v", file, got, wantRegions)
	}
	if settings.GetPeers().GetDevelopmentKeys() {
		t.Errorf("%s: got development keys, want certificates", file)
	}
	return settings.GetNode().GetRegion()
}
