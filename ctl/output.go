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

// Table is a result for people.
type Table struct {
	Header []string
	Rows   [][]string
	// Summary is a line below the rows; it may be empty.
	Summary string
}

// Output prints results as tables or as JSON.
type Output struct {
	writer io.Writer
	json   bool
}

// Print writes value as JSON, or table when JSON was not asked for.
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
