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

var errVirtualRunFailed = errors.New("run in virtual time failed; see the output on standard error")

// RunInVirtualTime runs f in virtual time: clocks advance only while every goroutine
// that f started is blocked. f must end its goroutines before it returns. The standard
// library offers virtual time to tests only (testing/synctest), so f runs as the single
// test of a test main; its output goes to standard error.
func RunInVirtualTime(ctx context.Context, f func(ctx context.Context) error) error {
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
	m := testing.MainStart(testDeps{}, []testing.InternalTest{{Name: "virtual time", F: body}}, nil, nil, nil)
	if parseErr := flag.CommandLine.Parse(nil); parseErr != nil {
		return parseErr
	}
	if code := m.Run(); code != 0 && err == nil {
		err = errVirtualRunFailed
	}
	if err == nil {
		err = ctx.Err()
	}
	return err
}

// testDeps implements the dependencies of testing.MainStart. Profiles, logs, coverage
// and fuzzing are not supported.
type testDeps struct{}

type corpusEntry = struct {
	Parent     string
	Path       string
	Data       []byte
	Values     []any
	Generation int
	IsSeed     bool
}

func (testDeps) ImportPath() string                          { return "" }
func (testDeps) ModulePath() string                          { return "" }
func (testDeps) MatchString(string, string) (bool, error)    { return true, nil }
func (testDeps) SetPanicOnExit0(bool)                        {}
func (testDeps) StartCPUProfile(io.Writer) error             { return nil }
func (testDeps) StopCPUProfile()                             {}
func (testDeps) StartTestLog(io.Writer)                      {}
func (testDeps) StopTestLog() error                          { return nil }
func (testDeps) WriteProfileTo(string, io.Writer, int) error { return nil }
func (testDeps) CoordinateFuzzing(time.Duration, int64, time.Duration, int64, int, []corpusEntry, []reflect.Type, string, string) error {
	return nil
}
func (testDeps) RunFuzzWorker(func(corpusEntry) error) error              { return nil }
func (testDeps) ReadCorpus(string, []reflect.Type) ([]corpusEntry, error) { return nil, nil }
func (testDeps) CheckCorpus([]any, []reflect.Type) error                  { return nil }
func (testDeps) ResetCoverage()                                           {}
func (testDeps) SnapshotCoverage()                                        {}
func (testDeps) InitRuntimeCoverage() (string, func(string, string) (string, error), func() float64) {
	return "", nil, nil
}
