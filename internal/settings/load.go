package settings

import (
	"errors"
	"io"
	"os"

	"github.com/ansel1/merry/v2"

	"pollenspindle.example/pollenspindle/internal/strictjson"
)

// ErrRead means that the settings file could not be read.
var ErrRead = merry.Sentinel("settings cannot be read")

// InvalidError lists every fault of a settings file.
type InvalidError struct {
	// Name is the file's name as passed by the caller.
	Name   string
	Faults []strictjson.Fault
}

// Error formats each fault as a line of the form name:line:column: path: message.
func (e *InvalidError) Error() string {
	return strictjson.Format(e.Name, e.Faults)
}

// Load reads the settings file at path, checks it and sets defaults. It returns an [*InvalidError]
// for an invalid file and [ErrRead] for an unreadable one.
func Load(path string) (Settings, error) {
	file, err := os.Open(path)
	if err != nil {
		return Settings{}, readError(err, path)
	}
	defer func() { _ = file.Close() }()
	// One byte above the limit lets Decode detect and report the excess.
	data, err := io.ReadAll(io.LimitReader(file, strictjson.MaxBytes+1))
	if err != nil {
		return Settings{}, readError(err, path)
	}
	return Parse(path, data)
}

// readError wraps err in [ErrRead]. It replaces an [*os.PathError] by its cause, since the message
// has the path already.
func readError(err error, path string) error {
	var pathErr *os.PathError
	if errors.As(err, &pathErr) {
		err = pathErr.Err
	}
	return merry.Appendf(ErrRead, "%s: %s", path, err.Error())
}

// Parse is [Load] for settings that are already in memory; name prefixes each fault.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings
	doc := strictjson.Decode(data, &s)
	if doc.WellFormed() {
		check(doc, s)
	}
	if faults := doc.Faults(); len(faults) > 0 {
		return Settings{}, &InvalidError{Name: name, Faults: faults}
	}
	return withDefaults(s), nil
}

func withDefaults(s Settings) Settings {
	for _, text := range []struct {
		field *string
		value string
	}{
		{&s.Log.Level, DefaultLogLevel},
		{&s.Trace.Exporter, ExporterNone},
	} {
		if *text.field == "" {
			*text.field = text.value
		}
	}
	if s.Trace.CallerTracesPerSecond == 0 {
		s.Trace.CallerTracesPerSecond = DefaultCallerTracesPerSecond
	}
	if s.Policy == "" {
		s.Policy = PolicyPredicted
	}
	for _, f := range timingFields(&s.Timing) {
		if *f.value == 0 {
			*f.value = f.defaultValue
		}
	}
	return s
}
