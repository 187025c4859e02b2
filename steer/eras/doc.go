// Package eras orders the states of a store that may be restored from an older copy.
package eras
