package main

import "magnoliahitch/standin/internal/stage"

// shiftRate is the cap on shifted requests/s of each service in the demo.
const shiftRate = 20

// deployments maps names to small deployments.
var deployments = map[string]stage.Deployment{
	"pall": {
		Regions: []string{"montevideo", "litoral", "norte"},
		Services: []stage.Service{
			{Name: "inventory", Profile: "latency", Class: "interactive"},
			{Name: "reservations", Profile: "latency", Class: "booking"},
			{Name: "care", Profile: "latency", Class: "interactive"},
			{Name: "returns", Profile: "latency", Class: "booking"},
		},
		ServersPerCell: 2,
		HostsPerDomain: 1,
		Profiles: func(blockTable string) string {
			return profileText("latency", "200", blockTable) + linkText("4000", "montevideo", "litoral", "norte")
		},
		Routes: pallRoutes,
	},
	"lens": {
		Regions: []string{"lowlands", "highlands", "borders"},
		Services: []stage.Service{
			{Name: "catalogue", Profile: "headroom", Class: "interactive"},
			{Name: "bookings", Profile: "headroom", Class: "booking"},
			{Name: "history", Profile: "headroom", Class: "bulk"},
			{Name: "checkin", Profile: "headroom", Class: "booking"},
		},
		ServersPerCell: 2,
		HostsPerDomain: 1,
		Profiles: func(blockTable string) string {
			return profileText("headroom", "500", blockTable) + linkText("300", "lowlands", "highlands", "borders")
		},
	},
}

// pallRoutes are the routes of the pall deployment: the inventory is the default,
// notes are served in one region only, and the trial is split over two services.
const pallRoutes = `
[route cloths]
host = cloths.example
prefix = /
parts = inventory
affinity = Standin-Object

[route notes]
host = cloths.example
prefix = /notes/
parts = care
regions = litoral
affinity = Standin-Object

[route trial]
host = cloths.example
prefix = /trial/
parts = inventory:3, care:1
timeoutMs = 2000
`
