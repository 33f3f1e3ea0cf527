package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

const (
	outputJSON = "json"
	// columnGap is the number of spaces between the columns of a table.
	columnGap = 2
)

// Table is a result in the form for human readers.
type Table struct {
	Header []string
	Rows   [][]string
	// Summary is printed below the rows, unless it is empty.
	Summary string
}

// Output prints results as tables or as JSON.
type Output struct {
	writer io.Writer
	json   bool
}

// Print writes value as JSON if the options ask for JSON, and otherwise writes table.
func (o *Output) Print(value any, table Table) error {
	if o.json {
		return writeJSON(o.writer, value)
	}
	return o.printTable(table)
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (o *Output) printTable(table Table) error {
	if len(table.Rows) > 0 {
		columns := tabwriter.NewWriter(o.writer, 0, 0, columnGap, ' ', 0)
		fmt.Fprintln(columns, strings.Join(table.Header, "\t"))
		for _, row := range table.Rows {
			fmt.Fprintln(columns, strings.Join(row, "\t"))
		}
		if err := columns.Flush(); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
	}
	if table.Summary != "" {
		fmt.Fprintln(o.writer, table.Summary)
	}
	return nil
}
