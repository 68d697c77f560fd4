package settings

import (
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/providers/env/v2"
	"github.com/knadh/koanf/providers/posflag"
	"github.com/knadh/koanf/v2"
	"github.com/spf13/pflag"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/strictyaml"
)

// maxFileBytes is the largest accepted settings file.
const maxFileBytes = 1 << 20

// Load fills target, a pointer to Entry, Agent or Deployment, from the file, the environment
// and the flags that were set. The error has kind errkind.InvalidArgument and
// lists each problem on its own line, or kind errkind.NotFound if the file is missing.
func Load(target any, file string, flags *pflag.FlagSet) error {
	l := &loader{file: file, layers: make(map[string]string)}
	if err := l.read(); err != nil {
		return err
	}
	if err := l.merge(target, flags); err != nil {
		return err
	}
	l.decode(target)
	if len(l.problems) == 0 {
		l.checkSecurity(target)
	}
	if len(l.problems) > 0 {
		return errkind.New(errkind.InvalidArgument, "%s", strings.Join(l.problems, "\n"))
	}
	return nil
}

// AddFlags defines a flag for each field of target, named as the field's key.
func AddFlags(set *pflag.FlagSet, target any) {
	for _, f := range fields(target) {
		set.String(f.key, f.tag.Get("default"), f.tag.Get("doc"))
	}
}

type loader struct {
	file       string
	syntaxTree *ast.File
	values     map[string]any
	merged     *koanf.Koanf
	layers     map[string]string
	problems   []string
}

func (l *loader) read() error {
	if l.file == "" {
		return nil
	}
	data, err := os.ReadFile(l.file)
	if os.IsNotExist(err) {
		return errkind.New(errkind.NotFound, "settings file %s does not exist", l.file)
	}
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "settings file")
	}
	if len(data) > maxFileBytes {
		return errkind.New(errkind.TooLarge, "settings file %s has %d bytes, at most %d", l.file, len(data), maxFileBytes)
	}
	if err := strictyaml.Decode(l.file, data, &l.values); err != nil {
		return err
	}
	l.syntaxTree, err = parser.ParseBytes(data, 0)
	return errkind.Wrap(errkind.InvalidArgument, err, "%s", l.file)
}

// merge combines the layers and records which layer set each key.
func (l *loader) merge(target any, flags *pflag.FlagSet) error {
	k := koanf.New(".")
	known := make(map[string]bool)
	defaults := make(map[string]any)
	for _, f := range fields(target) {
		known[f.key] = true
		defaults[f.key] = f.tag.Get("default")
	}
	load := func(name string, p koanf.Provider) error {
		layer := koanf.New(".")
		if err := layer.Load(p, nil); err != nil {
			return errkind.Wrap(errkind.InvalidArgument, err, "%s", name)
		}
		for _, key := range layer.Keys() {
			l.layers[key] = name
		}
		return k.Merge(layer)
	}
	if err := load("default", confmap.Provider(defaults, ".")); err != nil {
		return err
	}
	if err := load(l.file, confmap.Provider(l.values, "")); err != nil {
		return err
	}
	if err := load("environment", env.Provider(".", env.Opt{Prefix: EnvPrefix, TransformFunc: envKey(known)})); err != nil {
		return err
	}
	if flags != nil {
		changed := pflag.NewFlagSet("changed", pflag.ContinueOnError)
		flags.Visit(func(f *pflag.Flag) {
			if known[f.Name] {
				changed.AddFlag(f)
			}
		})
		if err := load("flag", posflag.Provider(changed, ".", k)); err != nil {
			return err
		}
	}
	l.merged = k
	for _, key := range k.Keys() {
		if !known[key] {
			l.report(key, fmt.Errorf("is not a known field"))
		}
	}
	sort.Strings(l.problems)
	return nil
}

// EnvName returns the environment variable of a key.
func EnvName(key string) string {
	key = strings.ReplaceAll(key, "_", "__")
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(key, ".", "_"))
}

// envKey returns a function that maps variables to keys. It ignores unknown
// variables with the prefix, since they belong to other commands.
func envKey(known map[string]bool) func(string, string) (string, any) {
	byName := make(map[string]string, len(known))
	for key := range known {
		byName[EnvName(key)] = key
	}
	return func(name, value string) (string, any) { return byName[name], value }
}

func (l *loader) decode(target any) {
	for _, f := range fields(target) {
		raw := l.merged.Get(f.key)
		if raw == nil {
			raw = ""
		}
		if err := f.set(raw); err != nil {
			l.report(f.key, err)
		}
	}
}

// report adds a problem, prefixed with the place that set the key.
func (l *loader) report(key string, err error) {
	place := l.layers[key]
	switch place {
	case "environment":
		place = "environment " + EnvName(key)
	case "flag":
		place = "flag --" + key
	case "default", "":
		place = l.file
	case l.file:
		place = fmt.Sprintf("%s:%d", l.file, l.line(key))
	}
	l.problems = append(l.problems, fmt.Sprintf("%s: %s: %v", place, key, err))
}

// line returns the line of a key in the file, or 0 if it is not found.
func (l *loader) line(key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil || l.syntaxTree == nil {
		return 0
	}
	node, err := path.FilterFile(l.syntaxTree)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// checkSecurity checks that certificates are set unless plaintext is, and that
// plaintext is used only on loopback addresses.
func (l *loader) checkSecurity(target any) {
	plain, certs := false, true
	for _, f := range fields(target) {
		switch f.key {
		case "security.plaintext":
			plain = f.value.Bool()
		case "security.cert", "security.key", "security.ca":
			certs = certs && f.value.String() != ""
		}
	}
	if !plain && !certs {
		l.report("security", fmt.Errorf("cert, key and ca are required unless plaintext is true"))
	}
	if !plain {
		return
	}
	for _, f := range fields(target) {
		kind := f.tag.Get("kind")
		if (kind == "addr" || kind == "url") && f.value.String() != "" && !isLoopback(f.value.String()) {
			l.report(f.key, fmt.Errorf("%q is not on loopback, which security.plaintext requires", f.value.String()))
		}
	}
}
