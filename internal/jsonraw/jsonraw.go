// Package jsonraw prepares JSON values for encoding/json, which rejects a value as a whole if any part of it is nested
// too deeply, even if that part is not used.
package jsonraw

import (
	"bytes"
	"encoding/json"
	"slices"
)

// maxDepth is the depth from which the value of a field counts as nested too deeply. It is far below the limit of
// encoding/json.
const maxDepth = 1000

// searchDepth is the depth up to which fields are found by their names.
const searchDepth = 8

// Unmarshal is like json.Unmarshal, but if that fails, it tries again without deep values of the named fields, as
// ReplaceDeepFields replaces them.
func Unmarshal(b []byte, v any, replacement string, names ...string) error {
	err := json.Unmarshal(b, v)
	if err == nil {
		return nil
	}
	replaced, replaceErr := ReplaceDeepFields(b, replacement, names...)
	if replaceErr != nil || bytes.Equal(replaced, b) {
		return err
	}
	return json.Unmarshal(replaced, v)
}

// ReplaceDeepFields returns b with the values of the named fields replaced by the given JSON value where they are nested
// deeper than maxDepth. Fields are found at any place up to searchDepth, but not within the value of a named field. It returns an error if b is not JSON.
func ReplaceDeepFields(b []byte, replacement string, names ...string) ([]byte, error) {
	r := &replacer{in: b, decoder: json.NewDecoder(bytes.NewReader(b)), replacement: replacement, names: names}
	r.decoder.UseNumber() // numbers of any size are accepted
	if _, err := r.value(1); err != nil {
		return nil, err
	}
	return append(r.out, b[r.copied:]...), nil
}

type replacer struct {
	in          []byte
	decoder     *json.Decoder
	replacement string
	names       []string
	out         []byte
	copied      int64 // number of bytes of in that out stands for
}

// value reads the next value, which is at the given depth, and returns the depth of its deepest part.
func (r *replacer) value(depth int) (deepest int, err error) {
	if depth > searchDepth {
		return r.skip(depth)
	}
	start, err := r.decoder.Token()
	if err != nil || start != json.Delim('{') && start != json.Delim('[') {
		return depth, err
	}
	deepest = depth
	for r.decoder.More() {
		var name json.Token
		if start == json.Delim('{') {
			if name, err = r.decoder.Token(); err != nil {
				return 0, err
			}
		}
		read := r.value
		text, isField := name.(string)
		isNamed := isField && slices.Contains(r.names, text)
		if isNamed {
			read = r.skip
		}
		from := r.decoder.InputOffset()
		partDepth, err := read(depth + 1)
		if err != nil {
			return 0, err
		}
		if isNamed && partDepth-depth > maxDepth {
			r.replace(from)
			continue
		}
		deepest = max(deepest, partDepth)
	}
	_, err = r.decoder.Token()
	return deepest, err
}

// skip reads the next value like value, but without recursion, so that its memory does not grow with the depth.
func (r *replacer) skip(depth int) (deepest int, err error) {
	deepest = depth
	for open := 0; ; {
		token, err := r.decoder.Token()
		if err != nil {
			return 0, err
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			open++
		case json.Delim('}'), json.Delim(']'):
			open--
		}
		deepest = max(deepest, depth+open)
		if open == 0 {
			return deepest, nil
		}
	}
}

// replace replaces the value of a field that was read from the given offset on, which is before the colon.
func (r *replacer) replace(from int64) {
	r.out = append(r.out, r.in[r.copied:from]...)
	r.out = append(r.out, ':')
	r.out = append(r.out, r.replacement...)
	r.copied = r.decoder.InputOffset()
}
