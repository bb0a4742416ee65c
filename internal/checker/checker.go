// Package checker validates resource manifests without a platform: the command
// `oleanderpick check FILE…|FOLDER`.
//
// A manifest is a file whose name ends in .json and that holds one resource or
// a list of resources. All files given are checked together, as references go
// from one file to another.
package checker

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-faster/errors"

	"github.com/oleanderpick/oleanderpick/pkg/declarer"
)

// MaximumFile is the largest manifest read, in bytes.
const MaximumFile = 64 << 20

// Checker prints the problems of manifests.
type Checker struct {
	output io.Writer
}

// New returns a checker that prints to the output.
func New(output io.Writer) *Checker {
	return &Checker{output: output}
}

// Check validates files, and the manifests in folders and below, and prints a
// line for each problem, then a summary. The error is for what could not be
// read.
func (c *Checker) Check(paths []string) (problems int, err error) {
	files, err := find(paths)
	if err != nil {
		return 0, err
	}
	batch, err := read(files)
	if err != nil {
		return 0, err
	}
	_, found := declarer.Validate(batch.resources)
	for _, problem := range found {
		batch.report(batch.origin(problem), problem.String())
	}
	return len(batch.lines), c.print(batch, len(files))
}

// print writes the problems by file, then the summary.
func (c *Checker) print(b *batch, files int) error {
	slices.Sort(b.lines)
	for _, line := range b.lines {
		if _, err := fmt.Fprintln(c.output, line); err != nil {
			return errors.Wrap(err, "print problem")
		}
	}
	_, err := fmt.Fprintf(c.output, "%d files, %d resources, %d problems\n", files, len(b.resources), len(b.lines))
	if err != nil {
		return errors.Wrap(err, "print summary")
	}
	return nil
}

// find lists the manifests, each once.
func find(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		found, err := findUnder(path)
		if err != nil {
			return nil, err
		}
		files = append(files, found...)
	}
	slices.Sort(files)
	files = slices.Compact(files)
	if len(files) == 0 {
		return nil, errors.New("no manifest found: no file that ends in .json")
	}
	return files, nil
}

func findUnder(root string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		// A file that is named itself is read whatever its name.
		if !entry.IsDir() && (path == root || filepath.Ext(path) == ".json") {
			files = append(files, filepath.Clean(path))
		}
		return nil
	})
	if err != nil {
		return nil, errors.Wrapf(err, "look for manifests in %s", root)
	}
	return files, nil
}

// batch is the contents of all manifests.
type batch struct {
	resources []declarer.Resource
	origins   map[declarer.Key][]string
	lines     []string
}

func read(files []string) (*batch, error) {
	b := &batch{origins: make(map[declarer.Key][]string)}
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "read manifest")
		}
		if info.Size() > MaximumFile {
			b.report(file, fmt.Sprintf("%d bytes are more than %d", info.Size(), MaximumFile))
			continue
		}
		data, err := os.ReadFile(file) //nolint:gosec // Reading the named file is the command's work.
		if err != nil {
			return nil, errors.Wrap(err, "read manifest")
		}
		b.add(file, data)
	}
	return b, nil
}

func (b *batch) report(file, text string) {
	b.lines = append(b.lines, file+": "+text)
}

// add takes the resources of one manifest.
func (b *batch) add(file string, data []byte) {
	resources, err := parse(data)
	if err != nil {
		b.report(file, err.Error())
		return
	}
	for _, resource := range resources {
		b.resources = append(b.resources, resource)
		b.origins[resource.Key()] = append(b.origins[resource.Key()], file)
	}
}

// origin names the file of the resource at fault: for one that is declared
// twice, the last file that does so.
func (b *batch) origin(problem declarer.Problem) string {
	origins := b.origins[problem.Key()]
	return origins[len(origins)-1]
}

// parse decodes one resource or a list of them, with no unknown fields.
func parse(data []byte) ([]declarer.Resource, error) {
	var resources []declarer.Resource
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '[' {
		err := decode(data, &resources)
		return resources, err
	}
	var resource declarer.Resource
	if err := decode(data, &resource); err != nil {
		return nil, err
	}
	return []declarer.Resource{resource}, nil
}

func decode(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Errorf("not a resource or a list of resources: line %d: %v", line(data, offset(err, decoder)), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("line %d: there is data after the end", line(data, decoder.InputOffset()))
	}
	return nil
}

// offset returns where in the data an error is.
func offset(err error, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return mismatch.Offset
	}
	return decoder.InputOffset()
}

func line(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// ReadResources returns the resources of files, and of the manifests in folders and
// below, without validating them. A manifest that is no list of resources is
// an error.
func ReadResources(paths []string) ([]declarer.Resource, error) {
	files, err := find(paths)
	if err != nil {
		return nil, err
	}
	batch, err := read(files)
	if err != nil {
		return nil, err
	}
	if len(batch.lines) > 0 {
		return nil, errors.New(batch.lines[0])
	}
	return batch.resources, nil
}
