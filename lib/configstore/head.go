// Package configstore keeps the accepted configuration on the platform. Apply adds a
// generation by a conditional update of one head object; Read returns the newest
// generation as a verified bundle that processes hand to each other.
package configstore

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"lukechampine.com/blake3"

	"laburnumgw/lib/config"
	"laburnumgw/lib/errkind"
	"laburnumgw/lib/platform"
)

const (
	// HeadKey is the key of the object that holds the accepted generation.
	HeadKey    = "config/head"
	filePrefix = "config/file/"
	// maxRecentApplies bounds the apply ids in the head. An operator whose response was
	// lost finds its apply there until this many later applies were accepted.
	maxRecentApplies = 64
	// maxRemovedFiles bounds the removed files that the head lists.
	maxRemovedFiles = 256
	digestBytes     = 32
)

// Digest returns the BLAKE3 digest of content in hexadecimal form.
func Digest(content []byte) string {
	sum := blake3.Sum256(content)
	return hex.EncodeToString(sum[:])
}

func fileKey(digest string) string { return filePrefix + digest }

// FileRef is one file of a generation. Added and Changed are the generations that
// added the file and that last changed it.
type FileRef struct {
	Name    string
	Digest  string
	Added   uint64
	Changed uint64
}

// MarshalJSON writes a short array, because the head lists up to 10,000 files in 1 MB.
func (f FileRef) MarshalJSON() ([]byte, error) {
	raw, err := hex.DecodeString(f.Digest)
	if err != nil {
		return nil, fmt.Errorf("digest of file %q: %w", f.Name, err)
	}
	fields := []any{f.Name, base64.RawURLEncoding.EncodeToString(raw), f.Changed}
	if f.Added != f.Changed {
		fields = append(fields, f.Added)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (f *FileRef) UnmarshalJSON(data []byte) error {
	var digest string
	var added *uint64
	fields := []any{&f.Name, &digest, &f.Changed, &added}
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	raw, err := base64.RawURLEncoding.DecodeString(digest)
	if err != nil {
		return err
	}
	f.Digest = hex.EncodeToString(raw)
	f.Added = f.Changed
	if added != nil {
		f.Added = *added
	}
	return nil
}

// AcceptedApply is one apply that the platform accepted.
type AcceptedApply struct {
	Generation uint64 `json:"generation"`
	ApplyID    string `json:"apply_id"`
}

// RemovedFile is a file that a generation removed.
type RemovedFile struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
}

// Head is the value of the head object.
type Head struct {
	Generation uint64 `json:"generation"`
	Parent     uint64 `json:"parent"`
	ApplyID    string `json:"apply_id"`
	Operator   string `json:"operator"`
	// RecentApplies holds the last applies, this one included, oldest first.
	RecentApplies []AcceptedApply `json:"recent"`
	// RemovedFiles holds the last removed files, oldest first. Removals of generations up
	// to and including RemovedBefore may no longer be listed.
	RemovedFiles  []RemovedFile `json:"removed,omitempty"`
	RemovedBefore uint64        `json:"removed_before,omitempty"`
	Files         []FileRef     `json:"files"`
}

func encodeHead(head Head) ([]byte, error) {
	value, err := json.Marshal(head)
	if err != nil {
		return nil, fmt.Errorf("encode head: %w", err)
	}
	if len(value) > platform.MaxValueBytes {
		return nil, errkind.New(errkind.TooLarge, "use fewer files or shorter file names",
			"the list of %d files has %d bytes, the platform stores at most %d", len(head.Files), len(value), platform.MaxValueBytes)
	}
	return value, nil
}

func decodeHead(value []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(value, &head); err != nil {
		return Head{}, errkind.Wrap(err, errkind.Corrupt, "restore the object config/head", "the head cannot be read")
	}
	if head.Generation == 0 || len(head.Files) > config.MaxFiles {
		return Head{}, errkind.New(errkind.Corrupt, "restore the object config/head",
			"the head has generation %d and %d files, expected at least generation 1 and at most %d files",
			head.Generation, len(head.Files), config.MaxFiles)
	}
	for i, file := range head.Files {
		if !config.ValidFileName(file.Name) || len(file.Digest) != 2*digestBytes {
			return Head{}, errkind.New(errkind.Corrupt, "restore the object config/head", "the head has an invalid file entry %q", file.Name)
		}
		if i > 0 && head.Files[i-1].Name >= file.Name {
			return Head{}, errkind.New(errkind.Corrupt, "restore the object config/head", "the head's files are not in order at %q", file.Name)
		}
	}
	return head, nil
}

// file returns the entry of a file and whether the head lists it.
func (h Head) file(name string) (FileRef, bool) {
	i, found := slices.BinarySearchFunc(h.Files, name, func(f FileRef, name string) int { return strings.Compare(f.Name, name) })
	if !found {
		return FileRef{}, false
	}
	return h.Files[i], true
}

// applyIDOf returns the apply id of a generation and whether the head still lists it.
func (h Head) applyIDOf(generation uint64) (string, bool) {
	for _, accepted := range h.RecentApplies {
		if accepted.Generation == generation {
			return accepted.ApplyID, true
		}
	}
	return "", false
}

// next returns the head that follows h with the given files.
func (h Head) next(generation uint64, files []config.File, applyID, operator string) Head {
	next := Head{
		Generation:    generation,
		Parent:        generation - 1,
		ApplyID:       applyID,
		Operator:      operator,
		RecentApplies: append(slices.Clone(h.RecentApplies), AcceptedApply{Generation: generation, ApplyID: applyID}),
		RemovedFiles:  slices.Clone(h.RemovedFiles),
		RemovedBefore: h.RemovedBefore,
	}
	names := make(map[string]bool, len(files))
	for _, file := range files {
		names[file.Name] = true
		ref := FileRef{Name: file.Name, Digest: Digest(file.Content), Added: generation, Changed: generation}
		if old, ok := h.file(file.Name); ok {
			ref.Added = old.Added
			if old.Digest == ref.Digest {
				ref.Changed = old.Changed
			}
		}
		next.Files = append(next.Files, ref)
	}
	for _, old := range h.Files {
		if !names[old.Name] {
			next.RemovedFiles = append(next.RemovedFiles, RemovedFile{Name: old.Name, Generation: generation})
		}
	}
	next.trim()
	return next
}

func (h *Head) trim() {
	if extra := len(h.RecentApplies) - maxRecentApplies; extra > 0 {
		h.RecentApplies = h.RecentApplies[extra:]
	}
	if extra := len(h.RemovedFiles) - maxRemovedFiles; extra > 0 {
		h.RemovedBefore = h.RemovedFiles[extra-1].Generation
		h.RemovedFiles = h.RemovedFiles[extra:]
	}
}

// equalFiles reports whether the head lists exactly the given files.
func (h Head) equalFiles(files []config.File) bool {
	if len(files) != len(h.Files) {
		return false
	}
	for i, file := range files {
		if h.Files[i].Name != file.Name || h.Files[i].Digest != Digest(file.Content) {
			return false
		}
	}
	return true
}
