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

// maxBytes bounds one line.
const maxBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	// Fields holds the other fields of the line as text.
	Fields map[string]string
}

// Read calls each for the lines that are JSON objects, in the order of the reader. Text
// before the JSON, such as the name of a machine, is skipped, and other lines are ignored,
// because the output of other programs may stand between them.
func Read(reader io.Reader, each func(Line)) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), maxBytes)
	for scanner.Scan() {
		if line, ok := Parse(scanner.Text()); ok {
			each(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	return nil
}

// Parse reads one line.
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
