package cmdutil

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/operatorapi"
	"pollenspindle.example/pollenspindle/pkg/iostreams"
)

// Output holds the flag that selects JSON output.
type Output struct {
	JSON bool `help:"Print JSON." name:"json"`
}

// Table is a table of text with one heading per column.
type Table struct {
	Heading []string
	Rows    [][]string
}

// Print writes v if JSON output is selected and table otherwise: aligned with a heading on a terminal,
// tab-separated without a heading when piped.
func (o Output) Print(streams *iostreams.IOStreams, v any, table Table) error {
	switch {
	case o.JSON:
		return PrintJSON(streams.Out, v)
	case streams.OutIsTerminal:
		return printAligned(streams.Out, table)
	default:
		for _, row := range table.Rows {
			fmt.Fprintln(streams.Out, strings.Join(row, "\t"))
		}
		return nil
	}
}

// PrintJSON writes v as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return merry.Prepend(err, "print")
	}
	return nil
}

func printAligned(w io.Writer, table Table) error {
	const padding = 2
	tw := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(tw, strings.ToUpper(strings.Join(table.Heading, "\t")))
	for _, row := range table.Rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	if err := tw.Flush(); err != nil {
		return merry.Prepend(err, "print")
	}
	return nil
}

// ChangeTable returns a table of the differences between two configurations.
func ChangeTable(changes []operatorapi.FieldChange) Table {
	table := Table{Heading: []string{"change", "path", "before", "after"}}
	for _, c := range changes {
		kind := "changed"
		switch {
		case c.Before == "":
			kind = "added"
		case c.After == "":
			kind = "removed"
		}
		table.Rows = append(table.Rows, []string{kind, c.Path, c.Before, c.After})
	}
	return table
}

// PrintText writes the result of text to the output stream.
func PrintText(streams *iostreams.IOStreams, text func() ([]byte, error)) error {
	data, err := text()
	if err != nil {
		return err
	}
	if _, err := streams.Out.Write(data); err != nil {
		return merry.Prepend(err, "print")
	}
	return nil
}
