package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// metricName matches the names of metrics in Go string literals.
var metricName = regexp.MustCompile(`["` + "`" + `](hitch_[a-z0-9_]+)`)

// TestPageListsEveryMetric compares the names on the operators' page with those in
// the code of the daemon and its libraries.
func TestPageListsEveryMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/ops/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]bool)
	for _, m := range regexp.MustCompile("`(hitch_[a-z0-9_]+)").FindAllStringSubmatch(string(page), -1) {
		listed[m[1]] = true
	}
	found := make(map[string]bool)
	for _, dir := range []string{".", "../links", "../steer"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range metricName.FindAllStringSubmatch(string(text), -1) {
				found[m[1]] = true
				if !listed[m[1]] {
					t.Errorf("%s: %s is missing from docs/ops/metrics.md", path, m[1])
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range listed {
		if !found[name] {
			t.Errorf("docs/ops/metrics.md lists %s, want only metrics of the code", name)
		}
	}
}
