package store

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// eraHeader is the header of all responses that carries the number of restores.
const eraHeader = "Store-Era"

// Copy is a copy of a store's rows and history.
type Copy struct {
	rows        map[string]map[string]row
	history     []row
	compactedTo uint64
	version     uint64
}

// Copy returns a copy of the current content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{rows: cloneTables(s.rows), history: slices.Clone(s.history), compactedTo: s.compactedTo, version: s.version}
}

// Restore replaces the content by that of a copy and increases the era. Versions are given
// out again, and queries for changes since a version that the copy lacks fail with 410.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.history = cloneTables(c.rows), slices.Clone(c.history)
	s.compactedTo, s.version = c.compactedTo, c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Era returns the current era.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// HideEra makes the store send no eras, as before it knew of them.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHidden = true
}

func cloneTables(tables map[string]map[string]row) map[string]map[string]row {
	all := make(map[string]map[string]row, len(tables))
	for name, t := range tables {
		all[name] = maps.Clone(t)
	}
	return all
}

// eraWriter adds the era as of the sending of the status to a response.
type eraWriter struct {
	http.ResponseWriter
	store *Store
	sent  bool
}

func (w *eraWriter) WriteHeader(status int) {
	w.addEra()
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	w.addEra()
	return w.ResponseWriter.Write(b)
}

func (w *eraWriter) addEra() {
	if w.sent {
		return
	}
	w.sent = true
	if w.Header().Get(eraHeader) != "" {
		return // set by the handler, as of the reading of the rows
	}
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.setEra(w.Header(), w.store.era)
}

func (s *Store) setEra(h http.Header, era uint64) {
	if !s.eraHidden {
		h.Set(eraHeader, strconv.FormatUint(era, 10))
	}
}

func (s *Store) keepCopy(http.ResponseWriter, *http.Request) {
	c := s.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept = c
}

func (s *Store) restoreCopy(http.ResponseWriter, *http.Request) {
	s.mu.Lock()
	c := s.kept
	s.mu.Unlock()
	s.Restore(c)
}

// Keys returns the keys of a table in the copy.
func (c Copy) Keys(table string) []string { return slices.Sorted(maps.Keys(c.rows[table])) }

// Rewrite makes a row's writer write again, after a restore from older, what it had written
// by the time of lost, unless the row was written since the restore.
func (s *Store) Rewrite(table, key string, lost, older Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.history {
		if x.Ver > older.version && x.Table == table && x.Key == key {
			return
		}
	}
	want, exists := lost.rows[table][key]
	have, found := s.rows[table][key]
	_, had := older.rows[table][key]
	if found && have.Ver > older.version || !found && had {
		return // written or removed since, whether or not the history still tells
	}
	switch {
	case exists && (!found || !bytes.Equal(want.Value, have.Value)):
		s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: want.Value}}})
	case !exists && found:
		s.apply(transaction{Remove: []row{{Table: table, Key: key}}})
	}
}
