package inmem

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"
	"reflect"
	"testing"
	"testing/synctest"
	"time"
)

var errVirtual = errors.New("the run in virtual time failed; see the output")

// Virtual runs f in virtual time: clocks advance only when every goroutine that f
// started waits. f must end its goroutines before it returns. The standard library
// offers virtual time to tests only, so f runs as the single test of a test main;
// its output goes to standard error.
func Virtual(ctx context.Context, f func(ctx context.Context) error) error {
	var err error
	body := func(t *testing.T) {
		synctest.Test(t, func(*testing.T) {
			inner, cancel := context.WithCancel(context.Background())
			defer cancel()
			err = f(inner)
		})
	}
	stdout := os.Stdout
	os.Stdout = os.Stderr
	defer func() { os.Stdout = stdout }()
	m := testing.MainStart(deps{}, []testing.InternalTest{{Name: "virtual time", F: body}}, nil, nil, nil)
	if parseErr := flag.CommandLine.Parse(nil); parseErr != nil {
		return parseErr
	}
	if code := m.Run(); code != 0 && err == nil {
		err = errVirtual
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}

// deps is the part of a test binary that testing.MainStart needs. Profiles, logs,
// coverage and fuzzing are not supported.
type deps struct{}

type corpusEntry = struct {
	Parent     string
	Path       string
	Data       []byte
	Values     []any
	Generation int
	IsSeed     bool
}

func (deps) ImportPath() string                          { return "" }
func (deps) ModulePath() string                          { return "" }
func (deps) MatchString(string, string) (bool, error)    { return true, nil }
func (deps) SetPanicOnExit0(bool)                        {}
func (deps) StartCPUProfile(io.Writer) error             { return nil }
func (deps) StopCPUProfile()                             {}
func (deps) StartTestLog(io.Writer)                      {}
func (deps) StopTestLog() error                          { return nil }
func (deps) WriteProfileTo(string, io.Writer, int) error { return nil }
func (deps) CoordinateFuzzing(time.Duration, int64, time.Duration, int64, int, []corpusEntry, []reflect.Type, string, string) error {
	return nil
}
func (deps) RunFuzzWorker(func(corpusEntry) error) error              { return nil }
func (deps) ReadCorpus(string, []reflect.Type) ([]corpusEntry, error) { return nil, nil }
func (deps) CheckCorpus([]any, []reflect.Type) error                  { return nil }
func (deps) ResetCoverage()                                           {}
func (deps) SnapshotCoverage()                                        {}
func (deps) InitRuntimeCoverage() (string, func(string, string) (string, error), func() float64) {
	return "", nil, nil
}
