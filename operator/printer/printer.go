// Package printer writes the output of command-line programs: tables or JSON to
// standard output, status lines and errors to standard error.
//
// # Usage
//
//	out := printer.Printer{Out: os.Stdout, Err: os.Stderr, Format: printer.FormatTable}
//	err := printer.Rows(out, columns, rows)
package printer

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("printer")

// Format is an output format.
type Format string

const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

const columnSeparator = "  "

// Printer writes output to Out, usually standard output, and status lines and errors
// to Err, usually standard error.
type Printer struct {
	Out    io.Writer
	Err    io.Writer
	Format Format
	// IsTerminal is true if Err is a terminal, on which status lines can be updated in
	// place.
	IsTerminal bool
}

// Column is a column of a table whose rows are of type T.
type Column[T any] struct {
	Title string
	Cell  func(T) string
}

// Rows writes rows as a table or as a JSON array, depending on the format.
func Rows[T any](p Printer, columns []Column[T], rows []T) error {
	if p.Format == FormatJSON {
		if rows == nil {
			rows = []T{}
		}
		return p.JSON(rows)
	}
	return p.Text(Table(columns, rows))
}

// Table formats rows as an aligned table with a header line.
func Table[T any](columns []Column[T], rows []T) string {
	lines := make([][]string, 0, len(rows)+1)
	lines = append(lines, headers(columns))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = orDash(column.Cell(row))
		}
		lines = append(lines, cells)
	}
	return align(lines)
}

func headers[T any](columns []Column[T]) []string {
	cells := make([]string, len(columns))
	for i, column := range columns {
		cells[i] = strings.ToUpper(column.Title)
	}
	return cells
}

// align pads the cells to the width of their column, except for the last cell of each
// line.
func align(lines [][]string) string {
	widths := make([]int, len(lines[0]))
	for _, line := range lines {
		for i, cell := range line {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	var text strings.Builder
	for _, line := range lines {
		for i, cell := range line {
			if i > 0 {
				text.WriteString(columnSeparator)
			}
			text.WriteString(cell)
			if i < len(line)-1 {
				text.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)))
			}
		}
		text.WriteByte('\n')
	}
	return text.String()
}

func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}

// FormatPairs formats names and values as two aligned columns.
func FormatPairs(pairs ...[2]string) string {
	lines := make([][]string, len(pairs))
	for i, pair := range pairs {
		lines[i] = []string{pair[0], orDash(pair[1])}
	}
	return align(lines)
}

// JSON writes value as indented JSON.
func (p Printer) JSON(value any) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return Error.New("writing JSON: %w", err)
	}
	return nil
}

// Text writes text unchanged.
func (p Printer) Text(text string) error {
	if _, err := io.WriteString(p.Out, text); err != nil {
		return Error.New("writing output: %w", err)
	}
	return nil
}

// Note writes a status line to Err, which Renew does not overwrite.
func (p Printer) Note(format string, values ...any) {
	_, _ = fmt.Fprintf(p.Err, format+"\n", values...)
}

// Renew overwrites the current line of the terminal with a status line. It does
// nothing unless IsTerminal is true.
func (p Printer) Renew(format string, values ...any) {
	if p.IsTerminal {
		_, _ = fmt.Fprintf(p.Err, "\r\x1b[K"+format, values...)
	}
}

// PrintError writes an error message.
func (p Printer) PrintError(err error) {
	_, _ = fmt.Fprintf(p.Err, "error: %v\n", err)
}

// Time formats a time in milliseconds since 1970 in UTC. It returns "" for 0.
func Time(milliseconds int64) string {
	if milliseconds == 0 {
		return ""
	}
	return time.UnixMilli(milliseconds).UTC().Format("2006-01-02 15:04:05.000")
}

// Duration formats a duration rounded to milliseconds.
func Duration(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

// Current writes the current value after a conflict to Err as JSON.
func (p Printer) Current(value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		_, _ = fmt.Fprintf(p.Err, "%s\n", body)
	}
}
