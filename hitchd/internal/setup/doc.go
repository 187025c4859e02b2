// Package setup reads and checks a host's settings.
//
// [Load] reads an INI file and returns every fault of it at once as [Faults].
// A [Fault] names the file, the section, the key, the value and what is
// allowed there. [Settings.Bind] then takes the host's ports, which also
// proves that their addresses are the host's own and free.
package setup
