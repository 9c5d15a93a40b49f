package cluster

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// LogsVariable names the folder to which the output of processes is copied when a test fails.
const LogsVariable = "TEST_LOGS"

const (
	// maxKeptOutput limits what is kept of the output of a process, half of it from its begin.
	maxKeptOutput = 32 << 20
	outputMode    = 0o600
	folderMode    = 0o700
)

var notInPath = regexp.MustCompile(`[^A-Za-z0-9._-]+`)

// KeepOutput copies the output of processes to a folder of a test, and returns the folder. It lies
// in the folder that LogsVariable names, or among the temporary files.
func KeepOutput(test string, all ...*Process) (folder string, err error) {
	within := cmp.Or(os.Getenv(LogsVariable), filepath.Join(os.TempDir(), "cicadabeam-test-logs"))
	if err := os.MkdirAll(within, folderMode); err != nil {
		return "", err
	}
	if folder, err = os.MkdirTemp(within, notInPath.ReplaceAllString(test, "_")+"-"); err != nil {
		return "", err
	}
	for _, p := range all {
		err = errors.Join(err, copyOutput(p.outputPath, filepath.Join(folder, p.name+".log"), maxKeptOutput))
	}
	return folder, err
}

// copyOutput copies a file, without its middle if it is longer than limit.
func copyOutput(from, to string, limit int64) error {
	r, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }()
	info, err := r.Stat()
	if err != nil {
		return err
	}
	w, err := os.OpenFile(to, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, outputMode)
	if err != nil {
		return err
	}
	if left := info.Size() - limit; left > 0 {
		_, err = io.CopyN(w, r, limit/2)
		_, written := fmt.Fprintf(w, "\n%d bytes are left out\n", left)
		_, sought := r.Seek(left, io.SeekCurrent)
		err = errors.Join(err, written, sought)
	}
	_, copied := io.Copy(w, r)
	return errors.Join(err, copied, w.Close())
}

// OutputLines returns the last lines, at most limit of them, of the output of a process that
// hold one of the words.
func (p *Process) OutputLines(words []string, limit int) []string {
	b, err := os.ReadFile(p.outputPath)
	if err != nil || len(words) == 0 {
		return nil
	}
	quoted := make([]string, 0, len(words))
	for _, w := range words {
		quoted = append(quoted, regexp.QuoteMeta(w))
	}
	// A word is not part of a longer one: i-1 is none of i-17.
	wanted := regexp.MustCompile(`(^|[^A-Za-z0-9_-])(` + strings.Join(quoted, "|") + `)($|[^A-Za-z0-9_-])`)
	var found []string
	for line := range bytes.Lines(b) {
		if wanted.Match(bytes.TrimRight(line, "\n")) {
			found = append(found, string(line))
		}
	}
	return found[max(0, len(found)-limit):]
}
