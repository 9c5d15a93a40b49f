package freshness

// StoreVersion is a version of the platform's store. A store that comes back from an older
// copy begins a new era and gives versions out again, so the era counts first: a greater
// version of an older era is older.
type StoreVersion struct {
	Era     uint64
	Version uint64
}

// Compare returns -1 if v is older than x, 0 if they are the same, and +1 if v is newer.
func (v StoreVersion) Compare(x StoreVersion) int {
	switch {
	case v == x:
		return 0
	case v.Era < x.Era || v.Era == x.Era && v.Version < x.Version:
		return -1
	default:
		return 1
	}
}

// After reports whether v is newer than x.
func (v StoreVersion) After(x StoreVersion) bool { return v.Compare(x) > 0 }

// eraShift leaves 2^40 versions to each era; tokens of the first 8192 eras are exact as
// floating-point numbers.
const eraShift = 40

// Token returns v as a number that grows with it.
func (v StoreVersion) Token() uint64 { return v.Era<<eraShift | v.Version }

// IsZero reports whether v is the zero version, that of a row that does not exist.
func (v StoreVersion) IsZero() bool { return v == StoreVersion{} }
