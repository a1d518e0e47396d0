// Package printer writes the output of the command line: tables for people and
// JSON for programs on the output, status lines and errors beside it.
//
// # Usage
//
//	out := printer.Printer{Out: os.Stdout, Side: os.Stderr, Format: printer.FormatTable}
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

// Format is the form of the output.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// gap separates two columns.
const gap = "  "

// Printer writes output to Out, and status lines and errors to Side.
type Printer struct {
	Out    io.Writer
	Side   io.Writer
	Format Format
	// Live says that Side is a terminal, where a status line may replace the
	// one before it.
	Live bool
}

// Column is one column of a table of Ts.
type Column[T any] struct {
	Title string
	Cell  func(T) string
}

// Rows writes rows as a table, or as one JSON array.
func Rows[T any](p Printer, columns []Column[T], rows []T) error {
	if p.Format == FormatJSON {
		if rows == nil {
			rows = []T{}
		}
		return p.JSON(rows)
	}
	return p.Text(Table(columns, rows))
}

// Table returns rows as an aligned table with a line of titles.
func Table[T any](columns []Column[T], rows []T) string {
	lines := make([][]string, 0, len(rows)+1)
	lines = append(lines, titles(columns))
	for _, row := range rows {
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = orDash(column.Cell(row))
		}
		lines = append(lines, cells)
	}
	return align(lines)
}

func titles[T any](columns []Column[T]) []string {
	cells := make([]string, len(columns))
	for i, column := range columns {
		cells[i] = strings.ToUpper(column.Title)
	}
	return cells
}

// align pads all cells but the last of each line to the width of their column.
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
				text.WriteString(gap)
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

// Pairs writes names and values in two aligned columns.
func Pairs(pairs ...[2]string) string {
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

// Text writes text as it is.
func (p Printer) Text(text string) error {
	if _, err := io.WriteString(p.Out, text); err != nil {
		return Error.New("writing output: %w", err)
	}
	return nil
}

// Note writes a status line.
func (p Printer) Note(format string, values ...any) {
	_, _ = fmt.Fprintf(p.Side, format+"\n", values...)
}

// Renew writes a status line that the next one replaces, on a terminal only.
func (p Printer) Renew(format string, values ...any) {
	if p.Live {
		_, _ = fmt.Fprintf(p.Side, "\r\x1b[K"+format, values...)
	}
}

// Fail writes an error.
func (p Printer) Fail(err error) {
	_, _ = fmt.Fprintf(p.Side, "error: %v\n", err)
}

// Time returns a wall-clock time in milliseconds as text, in UTC.
func Time(milliseconds int64) string {
	if milliseconds == 0 {
		return ""
	}
	return time.UnixMilli(milliseconds).UTC().Format("2006-01-02 15:04:05.000")
}

// Duration returns a duration rounded to milliseconds.
func Duration(length time.Duration) string {
	return length.Round(time.Millisecond).String()
}

// Current writes the newest state, shown beside an error, as JSON.
func (p Printer) Current(value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err == nil {
		_, _ = fmt.Fprintf(p.Side, "%s\n", body)
	}
}
