package settings

// timingField is one field of [Timing] with its default and its range.
type timingField struct {
	name         string
	value        *int
	defaultValue int
	min          int
	max          int
	unit         string
}

// timingFields lists the fields of t. The minimums limit the overhead of control traffic; the
// maximums keep the guarantees that are given in seconds, such as that a drained zone gets no new
// requests after a few.
func timingFields(t *Timing) []timingField {
	const millis, seconds = "milliseconds", "seconds"
	d := DefaultTiming
	return []timingField{
		{"heartbeatMillis", &t.HeartbeatMillis, d.HeartbeatMillis, 20, 5000, millis},
		{"loadPollMillis", &t.LoadPollMillis, d.LoadPollMillis, 20, 5000, millis},
		{"permitMillis", &t.PermitMillis, d.PermitMillis, 50, 10000, millis},
		{"confirmMillis", &t.ConfirmMillis, d.ConfirmMillis, 100, 10000, millis},
		{"stallMillis", &t.StallMillis, d.StallMillis, 50, 60000, millis},
		{"addressSeconds", &t.AddressSeconds, d.AddressSeconds, 1, 60, seconds},
		{"stopSeconds", &t.StopSeconds, d.StopSeconds, 1, 3600, seconds},
	}
}
