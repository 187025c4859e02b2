package client

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"magnoliahitch/steer/config"
)

// print writes the value as JSON with --json, otherwise calls text to write it in
// readable form.
func (s *session) print(v any, text func()) error {
	if !s.JSON {
		text()
		return nil
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table writes rows in aligned columns. The first row is the header.
func (s *session) table(rows ...[]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}

// printDifferences writes one line for each record that differs, and for a
// changed record one line for each key.
func (s *session) printDifferences(list []config.Difference) {
	signs := map[config.Operation]string{config.OperationAdd: "+", config.OperationChange: "~", config.OperationRemove: "-"}
	for _, d := range list {
		fmt.Fprintf(s.out, "%s %s %s\n", signs[d.Operation], d.Kind, d.Name)
		for _, k := range d.Keys {
			if d.Operation == config.OperationChange {
				fmt.Fprintf(s.out, "    %s: %s -> %s\n", k.Key, k.Old, k.New)
			}
		}
	}
	if len(list) == 0 {
		fmt.Fprintln(s.out, "no difference")
	}
}
