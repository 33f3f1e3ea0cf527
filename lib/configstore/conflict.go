package configstore

import (
	"fmt"
	"strings"

	"laburnumgw/lib/errkind"
)

// ConflictError is returned by Apply when the platform holds another generation than
// the base of the change. It names what other operators changed since the base.
type ConflictError struct {
	Base       uint64   `json:"base"`
	Generation uint64   `json:"generation"`
	Operator   string   `json:"operator"`
	Added      []string `json:"added,omitempty"`
	Edited     []string `json:"edited,omitempty"`
	Removed    []string `json:"removed,omitempty"`
	// Complete is false when files may have been removed that are no longer listed.
	Complete bool `json:"complete"`
}

// Error names the changed files.
func (e *ConflictError) Error() string { return e.Unwrap().Error() }

// Unwrap gives the error its kind.
func (e *ConflictError) Unwrap() error {
	var parts []string
	for _, list := range []struct {
		verb  string
		names []string
	}{{"added", e.Added}, {"edited", e.Edited}, {"removed", e.Removed}} {
		if len(list.names) > 0 {
			parts = append(parts, fmt.Sprintf("%s %s", list.verb, strings.Join(list.names, ", ")))
		}
	}
	if !e.Complete {
		parts = append(parts, "possibly removed others")
	}
	if len(parts) == 0 {
		parts = append(parts, "changed no file that still differs")
	}
	return errkind.New(errkind.Conflict, "pull the accepted files, repeat the edit on them and apply again",
		"generation %d was accepted after the base %d, last by %s: %s",
		e.Generation, e.Base, e.Operator, strings.Join(parts, "; "))
}

// MayHaveChanged reports whether the other operators changed a file. It is also true
// when Complete is false, because the file may have been removed.
func (e *ConflictError) MayHaveChanged(name string) bool {
	for _, names := range [][]string{e.Added, e.Edited, e.Removed} {
		for _, changed := range names {
			if changed == name {
				return true
			}
		}
	}
	return !e.Complete
}

// newConflictError returns the conflict with the files that changed between a base and
// the head.
func newConflictError(head Head, base uint64) *ConflictError {
	conflict := &ConflictError{
		Base: base, Generation: head.Generation, Operator: head.Operator,
		Complete: base >= head.RemovedBefore,
	}
	for _, file := range head.Files {
		switch {
		case file.Added > base:
			conflict.Added = append(conflict.Added, file.Name)
		case file.Changed > base:
			conflict.Edited = append(conflict.Edited, file.Name)
		}
	}
	for _, removed := range head.RemovedFiles {
		if removed.Generation <= base {
			continue
		}
		if _, ok := head.file(removed.Name); !ok {
			conflict.Removed = append(conflict.Removed, removed.Name)
		}
	}
	return conflict
}
