package keep

import "strings"

// logPlacement logs a placement decision, with the servers that were not selected
// and the reasons.
func (k *Keeper) logPlacement(j *job, c choice) {
	if !k.log.IsInfo() {
		return
	}
	server := c.assignment.Server.Name
	if server == "" {
		server = "none"
	}
	var others strings.Builder
	for i, o := range c.others {
		if i > 0 {
			others.WriteString(", ")
		}
		others.WriteString(o.Server + ": " + o.Reason)
	}
	k.log.Info("placement", "request", j.ID, "service", j.Cell.Service, "class", j.Class, "cell", j.Cell,
		"choice", server, "reason", c.reason, "waited", c.assignment.Waited, "others", others.String())
}
