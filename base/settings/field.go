package settings

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// field is a leaf field of a settings struct.
type field struct {
	key   string
	tag   reflect.StructTag
	value reflect.Value
}

// fields returns the leaf fields of a settings struct in declaration order.
func fields(target any) []field { return collectFields(reflect.ValueOf(target).Elem(), "") }

func collectFields(v reflect.Value, prefix string) []field {
	var out []field
	for i := range v.NumField() {
		sf := v.Type().Field(i)
		key := prefix + sf.Tag.Get("koanf")
		if sf.Type.Kind() == reflect.Struct {
			out = append(out, collectFields(v.Field(i), key+".")...)
			continue
		}
		out = append(out, field{key: key, tag: sf.Tag, value: v.Field(i)})
	}
	return out
}

// allowed describes the accepted values in messages and documentation.
func (f field) allowed() string {
	switch {
	case f.tag.Get("oneof") != "":
		return "one of " + strings.ReplaceAll(f.tag.Get("oneof"), ",", ", ")
	case f.tag.Get("min") != "":
		return f.tag.Get("min") + " to " + f.tag.Get("max")
	case f.value.Kind() == reflect.Bool:
		return "true or false"
	}
	switch f.tag.Get("kind") {
	case "addr":
		return "host:port with a numeric port"
	case "url":
		return "an http or https URL"
	case "file":
		return "the path of a readable file"
	case "name":
		return "1 to 63 letters, digits, '.', '_' or '-'"
	}
	return "text"
}

// set parses raw into the field and checks the allowed range.
func (f field) set(raw any) error {
	text := fmt.Sprint(raw)
	switch p := f.value.Addr().Interface().(type) {
	case *bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return f.notAllowed(text)
		}
		*p = b
	case *string:
		if _, ok := raw.(string); !ok {
			return f.notAllowed(text)
		}
		*p = text
		return f.checkText(text)
	case *float64:
		return f.setFloat(p, text)
	default:
		n, err := f.parseNumber(text)
		if err != nil {
			return f.notAllowed(text)
		}
		low, _ := f.parseNumber(f.tag.Get("min"))
		high, _ := f.parseNumber(f.tag.Get("max"))
		if n < low || n > high {
			return f.notAllowed(text)
		}
		f.value.SetInt(n)
	}
	return nil
}

func (f field) setFloat(into *float64, text string) error {
	n, err := strconv.ParseFloat(text, 64)
	low, lowErr := strconv.ParseFloat(f.tag.Get("min"), 64)
	high, highErr := strconv.ParseFloat(f.tag.Get("max"), 64)
	if err != nil || lowErr != nil || highErr != nil || !(n >= low && n <= high) {
		return f.notAllowed(text)
	}
	*into = n
	return nil
}

func (f field) notAllowed(text string) error {
	return fmt.Errorf("%q is not allowed; allowed is %s", text, f.allowed())
}

func (f field) parseNumber(text string) (int64, error) {
	switch f.value.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		return int64(d), err
	case Bytes:
		b, err := ParseBytes(text)
		return int64(b), err
	}
	return strconv.ParseInt(text, 10, 64)
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (f field) checkText(text string) error {
	if text == "" {
		if f.tag.Get("required") == "true" {
			return fmt.Errorf("is required; allowed is %s", f.allowed())
		}
		return nil
	}
	if list := f.tag.Get("oneof"); list != "" {
		for _, s := range strings.Split(list, ",") {
			if s == text {
				return nil
			}
		}
		return f.notAllowed(text)
	}
	ok := true
	switch f.tag.Get("kind") {
	case "name":
		ok = namePattern.MatchString(text)
	case "addr":
		_, port, err := net.SplitHostPort(text)
		n, perr := strconv.ParseUint(port, 10, 16)
		ok = err == nil && perr == nil && n <= math.MaxUint16
	case "url":
		u, err := url.Parse(text)
		ok = err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	case "file":
		file, err := os.Open(text)
		if err != nil {
			return fmt.Errorf("%w; allowed is %s", err, f.allowed())
		}
		return file.Close()
	}
	if !ok {
		return f.notAllowed(text)
	}
	return nil
}

var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1}}

// ParseBytes parses a size with a unit of B, KiB, MiB, GiB or TiB.
func ParseBytes(text string) (Bytes, error) {
	for _, u := range byteUnits {
		if digits, ok := strings.CutSuffix(text, u.suffix); ok {
			n, err := strconv.ParseInt(digits, 10, 64)
			if err != nil || n < 0 || n > math.MaxInt64/u.factor {
				return 0, fmt.Errorf("size %q is out of range", text)
			}
			return Bytes(n * u.factor), nil
		}
	}
	return 0, fmt.Errorf("size %q has no unit", text)
}

// isLoopback reports whether the host of an address or URL is localhost or a loopback IP.
func isLoopback(text string) bool {
	host := text
	if u, err := url.Parse(text); err == nil && u.Host != "" {
		host = u.Host
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	ip := net.ParseIP(host)
	return host == "localhost" || (ip != nil && ip.IsLoopback())
}
