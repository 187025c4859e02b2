// Package setup reads and checks a host's settings.
//
// [Load] reads an INI file and returns all of its faults at once as [Faults].
// A [Fault] names the file, the section, the key, the value and the allowed
// values. [Settings.Bind] then opens the host's ports, which also checks that the
// addresses belong to the host and are free.
package setup
