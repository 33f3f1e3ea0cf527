package config

import (
	"fmt"
	"slices"
	"strings"

	"laburnumgw/lib/errkind"
)

// ProblemKind is the machine-readable class of a problem.
type ProblemKind string

// Kinds of problems.
const (
	ProblemUnreadable    ProblemKind = "unreadable"
	ProblemTooLarge      ProblemKind = "too_large"
	ProblemNotUTF8       ProblemKind = "not_utf8"
	ProblemSyntax        ProblemKind = "syntax"
	ProblemUnknownKey    ProblemKind = "unknown_key"
	ProblemDuplicateKey  ProblemKind = "duplicate_key"
	ProblemWrongType     ProblemKind = "wrong_type"
	ProblemOutOfRange    ProblemKind = "out_of_range"
	ProblemMissing       ProblemKind = "missing"
	ProblemContradictory ProblemKind = "contradictory"
	ProblemUnknownName   ProblemKind = "unknown_name"
)

// Problem is one reason why a configuration is refused.
type Problem struct {
	Kind   ProblemKind `json:"kind"`
	File   string      `json:"file,omitempty"`
	Line   int         `json:"line,omitempty"`
	Column int         `json:"column,omitempty"`
	Key    string      `json:"key,omitempty"`
	Text   string      `json:"problem"`
	Remedy string      `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d:%d", p.Line, p.Column)
		}
		b.WriteString(": ")
	}
	if p.Key != "" {
		fmt.Fprintf(&b, "%s: ", p.Key)
	}
	fmt.Fprintf(&b, "%s; %s", p.Text, p.Remedy)
	return b.String()
}

// InvalidError holds every problem of a configuration, in order of file and line.
type InvalidError struct {
	Problems []Problem
}

// Error lists all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("configuration has %d problem(s):", len(e.Problems)))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap gives the error its kind.
func (e *InvalidError) Unwrap() error {
	return errkind.New(errkind.Invalid, "correct the named files and check again", "invalid configuration")
}

func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if order := strings.Compare(a.File, b.File); order != 0 {
			return order
		}
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		if a.Column != b.Column {
			return a.Column - b.Column
		}
		return strings.Compare(a.Key, b.Key)
	})
}

// nearest returns the candidate with the smallest edit distance to a word, or ""
// when every candidate differs in more than half of the word.
func nearest(word string, candidates []string) string {
	best := ""
	bestDistance := len(word)/2 + 1
	for _, candidate := range candidates {
		distance := editDistance(word, candidate)
		if distance < bestDistance {
			best = candidate
			bestDistance = distance
		}
	}
	return best
}

// maxSuggestBytes bounds the words that are compared, because computing the edit
// distance takes time proportional to the product of both lengths.
const maxSuggestBytes = 64

func editDistance(a, b string) int {
	if len(a) > maxSuggestBytes || len(b) > maxSuggestBytes {
		return max(len(a), len(b))
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal = row[j]
			row[j] = next
		}
	}
	return row[len(b)]
}

func suggest(word string, candidates []string) string {
	if near := nearest(word, candidates); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "use one of " + strings.Join(candidates, ", ")
}
