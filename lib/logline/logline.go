// Package logline reads the JSON log lines of laburnumgw processes.
package logline

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxLineBytes bounds one line.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields holds the other fields of the line as text.
	Fields map[string]string
}

// Read calls handle for each line that holds a JSON object, in the order of the reader. It
// skips text before the JSON, such as the name of a machine, and ignores other lines, because
// a log may contain the output of other programs. A line of maxLineBytes or more is an error.
func Read(reader io.Reader, handle func(Line)) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(scanner.Text()); ok {
			handle(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Parse parses one line: optional text, then one JSON object up to the end of the line. It
// returns false for other lines. The time is zero if the line holds no valid time.
func Parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string, len(fields))}
	for name, value := range fields {
		content := fmt.Sprint(value)
		switch name {
		case "ts":
			if at, err := time.Parse(time.RFC3339Nano, content); err == nil {
				line.Time = at
			}
		case "msg":
			line.Message = content
		case "node":
			line.Node = content
		case "level":
		default:
			line.Fields[name] = content
		}
	}
	return line, true
}
