package journal

// Limits are the sizes up to which the store takes records.
type Limits struct {
	RecordBytes  int // largest record
	RequestBytes int // largest sum of the records of one append
}

// DefaultLimits apply where a deployment's settings give none.
var DefaultLimits = Limits{RecordBytes: 262_144, RequestBytes: 2_097_152}

// OrDefault returns the limits with the default for each that is not set.
func (l Limits) OrDefault() Limits {
	if l.RecordBytes <= 0 {
		l.RecordBytes = DefaultLimits.RecordBytes
	}
	if l.RequestBytes <= 0 {
		l.RequestBytes = DefaultLimits.RequestBytes
	}
	return l
}

// Allow reports whether the store takes an append of these records.
func (l Limits) Allow(records []Record) bool {
	sum := 0
	for _, record := range records {
		if record.Bytes() > l.RecordBytes {
			return false
		}
		sum += record.Bytes()
	}
	return sum <= l.RequestBytes
}

// recordFrameBytes is the size of the lengths of a record and of its key.
const recordFrameBytes = 5

// Bytes is the size of a record in an append. The limits apply to it.
func (r Record) Bytes() int { return recordFrameBytes + len(r.Key) + len(r.Value) }
