package config

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	// MaxFileBytes bounds one file, because the platform stores it as one object.
	MaxFileBytes = 1 << 20
	// MaxFiles bounds the number of files, because one object lists them all.
	MaxFiles = 10000
	// MaxTotalBytes bounds all files together, because every process holds them in memory.
	MaxTotalBytes = 32 << 20
	// MaxFileNameBytes bounds the name of a configuration file.
	MaxFileNameBytes = 100
)

// File is one configuration file.
type File struct {
	Name    string
	Content []byte
}

// ReadFolder reads the files of a folder whose names end in .yaml or .yml. Other
// files, hidden files and folders inside the folder are not configuration and are
// skipped. It returns the files in byte order of their names, and an
// *InvalidError that names every file that cannot be read.
func ReadFolder(folder fs.FS) ([]File, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, &InvalidError{Problems: []Problem{unreadable("", err)}}
	}
	var files []File
	var problems []Problem
	for _, entry := range entries {
		if !isConfigName(entry.Name()) || entry.IsDir() {
			continue
		}
		file, problem := readFile(folder, entry)
		if problem != nil {
			problems = append(problems, *problem)
			continue
		}
		files = append(files, file)
	}
	if len(problems) > 0 {
		sortProblems(problems)
		return nil, &InvalidError{Problems: problems}
	}
	SortFiles(files)
	return files, nil
}

// SortFiles puts files in byte order of their names, which is the merge order.
func SortFiles(files []File) {
	slices.SortFunc(files, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
}

func isConfigName(name string) bool {
	if strings.HasPrefix(name, ".") {
		return false
	}
	return strings.HasSuffix(name, ".yaml") || strings.HasSuffix(name, ".yml")
}

func readFile(folder fs.FS, entry fs.DirEntry) (File, *Problem) {
	info, err := fs.Stat(folder, entry.Name())
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("not a regular file")
	}
	if err != nil {
		problem := unreadable(entry.Name(), err)
		return File{}, &problem
	}
	if info.Size() > MaxFileBytes {
		problem := fileTooLarge(entry.Name(), info.Size())
		return File{}, &problem
	}
	content, err := fs.ReadFile(folder, entry.Name())
	if err != nil {
		problem := unreadable(entry.Name(), err)
		return File{}, &problem
	}
	return File{Name: entry.Name(), Content: content}, nil
}

func unreadable(name string, err error) Problem {
	return Problem{
		Kind: ProblemUnreadable, File: name,
		Text:   fmt.Sprintf("cannot be read: %v", err),
		Remedy: "make the folder and its files readable",
	}
}

func fileTooLarge(name string, size int64) Problem {
	return Problem{
		Kind: ProblemTooLarge, File: name,
		Text:   fmt.Sprintf("has %d bytes, at most %d are allowed", size, MaxFileBytes),
		Remedy: "split the file",
	}
}

// checkFiles returns all problems of the files other than syntax problems. The files
// must be sorted by name.
func checkFiles(files []File) []Problem {
	if len(files) > MaxFiles {
		return []Problem{{
			Kind:   ProblemTooLarge,
			Text:   fmt.Sprintf("%d files, at most %d are allowed", len(files), MaxFiles),
			Remedy: "join small files",
		}}
	}
	var problems []Problem
	total := 0
	for i, file := range files {
		total += len(file.Content)
		problems = append(problems, checkFile(file)...)
		if i > 0 && files[i-1].Name == file.Name {
			problems = append(problems, Problem{
				Kind: ProblemContradictory, File: file.Name,
				Text: "the name occurs twice", Remedy: "give each file its own name",
			})
		}
	}
	if total > MaxTotalBytes {
		problems = append(problems, Problem{
			Kind:   ProblemTooLarge,
			Text:   fmt.Sprintf("all files together have %d bytes, at most %d are allowed", total, MaxTotalBytes),
			Remedy: "remove settings that are no longer used",
		})
	}
	return problems
}

func checkFile(file File) []Problem {
	var problems []Problem
	if !ValidFileName(file.Name) {
		problems = append(problems, Problem{
			Kind: ProblemOutOfRange, File: file.Name,
			Text:   "the name is not a plain file name",
			Remedy: fmt.Sprintf("use at most %d letters, digits, dots, hyphens and underscores, ending in .yaml or .yml", MaxFileNameBytes),
		})
	}
	if len(file.Content) > MaxFileBytes {
		problems = append(problems, fileTooLarge(file.Name, int64(len(file.Content))))
	}
	if !utf8.Valid(file.Content) {
		problems = append(problems, notUTF8(file))
	}
	return problems
}

// ValidFileName reports whether a name is a configuration file's name.
func ValidFileName(name string) bool {
	if len(name) > MaxFileNameBytes || !isConfigName(name) {
		return false
	}
	return validChars(name)
}

func notUTF8(file File) Problem {
	line := 1
	for rest := file.Content; len(rest) > 0; {
		r, size := utf8.DecodeRune(rest)
		if r == utf8.RuneError && size == 1 {
			break
		}
		if r == '\n' {
			line++
		}
		rest = rest[size:]
	}
	return Problem{
		Kind: ProblemNotUTF8, File: file.Name, Line: line, Column: 1,
		Text: "contains bytes that are not UTF-8", Remedy: "save the file as UTF-8",
	}
}

// maxNameBytes bounds the name of a zone, workspace, model, version or service.
const maxNameBytes = 63

// ValidName reports whether a name can be part of a platform key.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return name[0] != '.' && validChars(name)
}

func validChars(name string) bool {
	for _, c := range []byte(name) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		case c == '.', c == '-', c == '_':
		default:
			return false
		}
	}
	return true
}
