package records

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
)

const (
	configTable         = "config"
	headKey             = "head"
	bodyKey             = "body"
	auditTable          = "audit"
	commitRetryTimeout  = 5 * time.Second
	commitRetryInterval = 100 * time.Millisecond
	maxConfigSize       = 32 << 20 // bytes, uncompressed
)

// Head identifies the newest configuration by its revision and change ID.
type Head struct {
	Revision uint64 `json:"revision"`
	Change   string `json:"change"`
}

// AuditEntry is an entry of the audit trail.
type AuditEntry struct {
	Revision uint64          `json:"revision"`
	Change   string          `json:"change"`
	By       string          `json:"by"`
	Node     string          `json:"node"`
	At       time.Time       `json:"at"`
	Note     string          `json:"note,omitempty"`
	Changes  []config.Change `json:"changes"`
}

type body struct {
	Revision uint64 `json:"revision"`
	Text     []byte `json:"text_gzip"`
}

// RevisionConflictError reports that another change was accepted first.
type RevisionConflictError struct {
	Winner AuditEntry
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("revision %d by %s came first", e.Winner.Revision, e.Winner.By)
}

// ConfigStore stores the configuration and its audit trail in the platform's table.
type ConfigStore struct {
	table  Table
	recent recentChanges
}

// NewConfigStore returns the configurations stored in a table.
func NewConfigStore(t Table) *ConfigStore { return &ConfigStore{table: t} }

// Head returns the newest revision, or 0 if there is no configuration yet.
func (c *ConfigStore) Head(ctx context.Context) (Head, error) {
	h, _, err := c.head(ctx)
	return h, err
}

func (c *ConfigStore) head(ctx context.Context) (Head, freshness.StoreVersion, error) {
	row, found, err := c.table.Get(ctx, configTable, headKey)
	if err != nil || !found {
		return Head{}, freshness.StoreVersion{}, err
	}
	var h Head
	err = json.Unmarshal(row.Value, &h)
	return h, row.Revision, errors.Wrap(err, "records: decode configuration head")
}

// Load returns the newest configuration, or nil if there is none yet.
func (c *ConfigStore) Load(ctx context.Context) (*config.Config, error) {
	row, found, err := c.table.Get(ctx, configTable, bodyKey)
	if err != nil || !found {
		return nil, err
	}
	var b body
	if err := json.Unmarshal(row.Value, &b); err != nil {
		return nil, errors.Wrap(err, "records: decode configuration")
	}
	text, err := Decompress(b.Text)
	if err != nil {
		return nil, err
	}
	parsed, err := config.Parse("questionnaire", text)
	if err != nil {
		return nil, errors.Wrap(err, "records: parse configuration")
	}
	return parsed.WithRevision(b.Revision), nil
}

// Apply stores next as the new configuration if the newest revision is still base.
// Otherwise it returns a *RevisionConflictError with the change that was accepted instead.
// If the response to the transaction is lost, Apply finds out whether it took effect.
func (c *ConfigStore) Apply(ctx context.Context, next *config.Config, base uint64, a AuditEntry, changes []config.Change) (AuditEntry, error) {
	head, rowRevision, err := c.head(ctx)
	if err != nil {
		return AuditEntry{}, fault.From(err).WithRan(fault.NotRun)
	}
	if Held(c.table.Eras()) {
		return AuditEntry{}, heldError("apply").WithRan(fault.NotRun)
	}
	if head.Revision != base {
		return AuditEntry{}, c.revisionConflict(ctx, head.Revision)
	}
	a.Revision = base + 1
	a.Change = uuid.NewString()
	a.At = time.Now().UTC()
	a.Changes = changes
	t, err := newApplyTransaction(next, rowRevision, a)
	if err != nil {
		return AuditEntry{}, err
	}
	at, err := c.table.Commit(ctx, t)
	var conflict *ConflictError
	switch {
	case err == nil:
		c.recent.add(recentChange{next: next, entry: a, at: time.Now(), era: at.Era})
		return a, nil
	case errors.As(err, &conflict):
		return AuditEntry{}, c.revisionConflict(ctx, a.Revision)
	default:
		return c.confirmCommit(ctx, t, next, a, err)
	}
}

// heldError reports that a write waits until all nodes have written again what the store
// lost.
func heldError(step string) *fault.Error {
	return fault.New(fault.PlatformUnavailable, step, "platform").WithRetryAt(time.Now().Add(restoreHold))
}

func newApplyTransaction(next *config.Config, headRowRevision freshness.StoreVersion, a AuditEntry) (Transaction, error) {
	compressed, err := Compress(next.Text())
	if err != nil {
		return Transaction{}, err
	}
	t := Transaction{Conditions: []Condition{{Table: configTable, Key: headKey, Revision: headRowRevision}}}
	for _, w := range []struct {
		table, key string
		value      any
	}{
		{configTable, headKey, Head{Revision: a.Revision, Change: a.Change}},
		{configTable, bodyKey, body{Revision: a.Revision, Text: compressed}},
		{auditTable, auditKey(a.Revision), a},
	} {
		value, err := json.Marshal(w.value)
		if err != nil {
			return Transaction{}, errors.Wrap(err, "records: encode "+w.table)
		}
		t.Writes = append(t.Writes, Write{Table: w.table, Key: w.key, Value: value})
	}
	return t, nil
}

// confirmCommit determines whether a transaction whose response was lost took
// effect. The transaction may still be in transit, so it is sent again until it
// succeeds or the conflict shows that the head has changed.
func (c *ConfigStore) confirmCommit(ctx context.Context, t Transaction, next *config.Config, a AuditEntry, cause error) (AuditEntry, error) {
	deadline := time.Now().Add(commitRetryTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		at, err := c.table.Commit(ctx, t)
		if err == nil {
			c.recent.add(recentChange{next: next, entry: a, at: time.Now(), era: at.Era})
			return a, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return c.resolveConflict(ctx, a)
		}
		time.Sleep(commitRetryInterval)
	}
	return AuditEntry{}, fault.Wrap(cause, fault.PlatformUnavailable, "apply", "platform").WithRetryAt(time.Now().Add(time.Second))
}

func (c *ConfigStore) resolveConflict(ctx context.Context, a AuditEntry) (AuditEntry, error) {
	winner, err := c.AuditEntry(ctx, a.Revision)
	if err != nil {
		return AuditEntry{}, fault.From(err).WithRan(fault.RanUnknown)
	}
	if winner.Change == a.Change {
		return a, nil
	}
	return AuditEntry{}, &RevisionConflictError{Winner: winner}
}

func (c *ConfigStore) revisionConflict(ctx context.Context, revision uint64) error {
	winner, err := c.AuditEntry(ctx, revision)
	if err != nil {
		return fault.Newf(fault.Conflict, "apply", "platform", "the configuration is at revision %d", revision)
	}
	return &RevisionConflictError{Winner: winner}
}

// AuditEntry returns the audit entry of a revision.
func (c *ConfigStore) AuditEntry(ctx context.Context, revision uint64) (AuditEntry, error) {
	row, found, err := c.table.Get(ctx, auditTable, auditKey(revision))
	if err != nil {
		return AuditEntry{}, err
	}
	if !found {
		return AuditEntry{}, fault.Newf(fault.NotFound, "read-audit", "platform", "there is no revision %d", revision)
	}
	var a AuditEntry
	err = json.Unmarshal(row.Value, &a)
	return a, errors.Wrap(err, "records: decode audit entry")
}

// AuditTrail returns up to limit of the newest entries of the audit trail, newest first.
func (c *ConfigStore) AuditTrail(ctx context.Context, limit int) ([]AuditEntry, error) {
	rows, err := c.table.List(ctx, auditTable, "")
	if err != nil {
		return nil, err
	}
	slices.Reverse(rows)
	entries := make([]AuditEntry, 0, min(limit, len(rows)))
	for _, r := range rows[:min(limit, len(rows))] {
		var a AuditEntry
		if err := json.Unmarshal(r.Value, &a); err != nil {
			return nil, errors.Wrap(err, "records: decode audit entry")
		}
		entries = append(entries, a)
	}
	return entries, nil
}

func auditKey(revision uint64) string { return fmt.Sprintf("%012d", revision) }

// Compress compresses a questionnaire for storage and for transfer to other nodes.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if _, err := z.Write(text); err != nil {
		return nil, errors.Wrap(err, "records: compress configuration")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "records: compress configuration")
	}
	return b.Bytes(), nil
}

// Decompress decompresses the result of Compress. The output is cut off at maxConfigSize.
func Decompress(compressed []byte) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, errors.Wrap(err, "records: decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(z, maxConfigSize))
	return text, errors.Wrap(err, "records: decompress configuration")
}
