// Package page writes a Markdown page with plots that compare the reports of several runs over
// time.
//
// # Usage
//
//	err := page.Write("docs/measurements", "Title", reports)
package page

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/loadgen/measure"
)

// ErrWrite means that the page or a plot could not be written.
var ErrWrite = merry.Sentinel("page not written")

const (
	dirMode       = 0o755
	fileMode      = 0o644
	pageFileName  = "README.md"
	plotExtension = ".png"
)

// Write writes a page with its plots to dir.
func Write(dir, title string, reports []measure.Report) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	var text bytes.Buffer
	fmt.Fprintf(&text, "# %s\n\nWritten by `loadgen report` from the reports of these runs:\n\n```\n", title)
	if err := measure.WriteTable(&text, reports...); err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	fmt.Fprint(&text, "```\n")
	marks := sortedMarks(reports)
	for _, m := range marks {
		fmt.Fprintf(&text, "\n- %.0f s: %s", m.second, m.name)
	}
	fmt.Fprintln(&text)
	for _, c := range buildCharts(reports) {
		file := c.name + plotExtension
		if err := c.draw(filepath.Join(dir, file), marks); err != nil {
			return err
		}
		fmt.Fprintf(&text, "\n## %s\n\n![%s](%s)\n", c.title, c.title, file)
	}
	err := os.WriteFile(filepath.Join(dir, pageFileName), text.Bytes(), fileMode)
	if err != nil {
		return merry.Wrap(ErrWrite, merry.WithCause(err))
	}
	return nil
}
