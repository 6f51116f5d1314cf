// Package golden compares encodings with those of an earlier release, so that processes of two
// releases understand each other and stored data stays readable.
//
// A golden file has one line per value: its name, a space and its encoding in hexadecimal.
package golden

import (
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"
	"testing"
)

var update = flag.Bool("update-golden", false, "rewrite the golden files")

// filler fills values deterministically. count makes the fields differ.
type filler struct{ count int64 }

// Fill gives non-zero values to all exported fields of the structure that value points to,
// recursively. Slices get two elements, maps one.
func Fill(value any) {
	(&filler{}).set(reflect.ValueOf(value).Elem())
}

func (fill *filler) set(value reflect.Value) {
	fill.count++
	switch value.Kind() {
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		value.SetInt(fill.count)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		value.SetUint(uint64(fill.count))
	case reflect.Float32, reflect.Float64:
		value.SetFloat(float64(fill.count) + 0.5)
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", fill.count))
	case reflect.Slice:
		fill.setSlice(value)
	case reflect.Array:
		fill.setElements(value)
	case reflect.Map:
		fill.setMap(value)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill.set(value.Elem())
	case reflect.Struct:
		fill.setFields(value)
	default:
		panic("golden: unsupported kind " + value.Kind().String())
	}
}

func (fill *filler) setSlice(value reflect.Value) {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		value.SetBytes([]byte(fmt.Sprintf("bytes-%d", fill.count)))
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), 2, 2))
	fill.setElements(value)
}

func (fill *filler) setElements(value reflect.Value) {
	for index := range value.Len() {
		fill.set(value.Index(index))
	}
}

func (fill *filler) setMap(value reflect.Value) {
	value.Set(reflect.MakeMap(value.Type()))
	key := reflect.New(value.Type().Key()).Elem()
	element := reflect.New(value.Type().Elem()).Elem()
	fill.set(key)
	fill.set(element)
	value.SetMapIndex(key, element)
}

func (fill *filler) setFields(value reflect.Value) {
	for index := range value.NumField() {
		if value.Type().Field(index).IsExported() {
			fill.set(value.Field(index))
		}
	}
}

// Format is an encoding.
type Format struct {
	Marshal   func(value any) ([]byte, error)
	Unmarshal func(body []byte, value any) error
}

// Check fills each value, which must be a pointer to a structure, and fails the test unless its
// encoding is the one in the file and that one decodes to an equal value. With the flag
// -update-golden it rewrites the file first.
func (format Format) Check(test *testing.T, file string, values map[string]any) {
	test.Helper()
	encodings := format.encode(test, values)
	if *update {
		writeFile(test, file, encodings)
	}
	want := readFile(test, file)
	if len(want) != len(values) {
		test.Errorf("%s has %d encodings, want %d", file, len(want), len(values))
	}
	for name, value := range values {
		if encodings[name] != want[name] {
			test.Errorf("encoding of %s is\n%s\nwant\n%s", name, encodings[name], want[name])
		}
		format.checkDecoded(test, name, want[name], value)
	}
}

func (format Format) encode(test *testing.T, values map[string]any) map[string]string {
	test.Helper()
	encodings := make(map[string]string, len(values))
	for name, value := range values {
		Fill(value)
		body, err := format.Marshal(value)
		if err != nil {
			test.Fatalf("%s: %v", name, err)
		}
		encodings[name] = hex.EncodeToString(body)
	}
	return encodings
}

func (format Format) checkDecoded(test *testing.T, name, encoding string, want any) {
	test.Helper()
	body, err := hex.DecodeString(encoding)
	if err != nil {
		test.Fatalf("%s: %v", name, err)
	}
	decoded := reflect.New(reflect.TypeOf(want).Elem()).Interface()
	if err := format.Unmarshal(body, decoded); err != nil {
		test.Errorf("%s: %v", name, err)
		return
	}
	if !reflect.DeepEqual(decoded, want) {
		test.Errorf("%s decodes to %+v, want %+v", name, decoded, want)
	}
}

func readFile(test *testing.T, file string) map[string]string {
	test.Helper()
	content, err := os.ReadFile(file)
	if err != nil {
		test.Fatal(err)
	}
	encodings := map[string]string{}
	for line := range strings.Lines(string(content)) {
		name, encoding, found := strings.Cut(strings.TrimSpace(line), " ")
		if !found {
			test.Fatalf("%s: line without an encoding: %q", file, line)
		}
		encodings[name] = encoding
	}
	return encodings
}

func writeFile(test *testing.T, file string, encodings map[string]string) {
	test.Helper()
	names := make([]string, 0, len(encodings))
	for name := range encodings {
		names = append(names, name)
	}
	sort.Strings(names)
	text := bytes.Buffer{}
	for _, name := range names {
		fmt.Fprintf(&text, "%s %s\n", name, encodings[name])
	}
	if err := os.WriteFile(file, text.Bytes(), 0o600); err != nil {
		test.Fatal(err)
	}
}
