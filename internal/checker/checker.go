// Package checker validates resource manifests without a platform, for the command
// `oleanderpick check FILE…|FOLDER`.
//
// A manifest is a file that holds one resource or a list of resources as JSON. In
// folders, only files whose names end in .json are manifests. All manifests are
// validated together because resources may refer to those of other files.
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

// MaxManifestBytes is the largest size of a manifest in bytes. A larger one is
// reported as a problem and not read.
const MaxManifestBytes = 64 << 20

// Checker validates manifests and prints their problems.
type Checker struct {
	output io.Writer
}

// New returns a checker that prints to output.
func New(output io.Writer) *Checker {
	return &Checker{output: output}
}

// Check validates the manifests at paths, which are files or folders that are
// searched recursively. It prints a line for each problem, then a summary, and
// returns the number of problems. It returns an error if there is no manifest, or if
// a file cannot be read or the output not written.
func (c *Checker) Check(paths []string) (problemCount int, err error) {
	files, err := findManifests(paths)
	if err != nil {
		return 0, err
	}
	manifests, err := readManifests(files)
	if err != nil {
		return 0, err
	}
	_, problems := declarer.Validate(manifests.resources)
	for _, problem := range problems {
		manifests.addProblem(manifests.fileOf(problem), problem.String())
	}
	return len(manifests.problemLines), c.printReport(manifests, len(files))
}

// printReport prints the problems in order of files, then the summary.
func (c *Checker) printReport(m *manifestSet, fileCount int) error {
	slices.Sort(m.problemLines)
	for _, line := range m.problemLines {
		if _, err := fmt.Fprintln(c.output, line); err != nil {
			return errors.Wrap(err, "print problem")
		}
	}
	_, err := fmt.Fprintf(c.output, "%d files, %d resources, %d problems\n", fileCount, len(m.resources), len(m.problemLines))
	if err != nil {
		return errors.Wrap(err, "print summary")
	}
	return nil
}

// findManifests returns the sorted paths of the manifests at and below paths, without
// duplicates. It returns an error if there is none.
func findManifests(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		found, err := findManifestsUnder(path)
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

// findManifestsUnder returns root itself if it is a file, and otherwise the manifests
// in the folder and its subfolders.
func findManifestsUnder(root string) ([]string, error) {
	var files []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		// A file that the caller names is a manifest whatever its extension.
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

// manifestSet holds the resources and the problems of all manifests.
type manifestSet struct {
	resources       []declarer.Resource
	filesByResource map[declarer.Key][]string
	problemLines    []string
}

// readManifests reads and parses files. Files that are too large or malformed become
// problems; a file that cannot be read is an error.
func readManifests(files []string) (*manifestSet, error) {
	m := &manifestSet{filesByResource: make(map[declarer.Key][]string)}
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return nil, errors.Wrap(err, "read manifest")
		}
		if info.Size() > MaxManifestBytes {
			m.addProblem(file, fmt.Sprintf("%d bytes are more than %d", info.Size(), MaxManifestBytes))
			continue
		}
		data, err := os.ReadFile(file) //nolint:gosec // The user of the command names the file.
		if err != nil {
			return nil, errors.Wrap(err, "read manifest")
		}
		m.addManifest(file, data)
	}
	return m, nil
}

// addProblem adds a line about a file to the report.
func (m *manifestSet) addProblem(file, text string) {
	m.problemLines = append(m.problemLines, file+": "+text)
}

// addManifest parses a manifest and adds its resources, or a problem if it is
// malformed.
func (m *manifestSet) addManifest(file string, data []byte) {
	resources, err := parseManifest(data)
	if err != nil {
		m.addProblem(file, err.Error())
		return
	}
	for _, resource := range resources {
		m.resources = append(m.resources, resource)
		m.filesByResource[resource.Key()] = append(m.filesByResource[resource.Key()], file)
	}
}

// fileOf returns the file that declares the resource with a problem. If several do,
// it returns the last one read.
func (m *manifestSet) fileOf(problem declarer.Problem) string {
	files := m.filesByResource[problem.Key()]
	return files[len(files)-1]
}

// parseManifest decodes one resource or a list of resources. Unknown fields are
// errors.
func parseManifest(data []byte) ([]declarer.Resource, error) {
	var resources []declarer.Resource
	if trimmed := bytes.TrimSpace(data); len(trimmed) > 0 && trimmed[0] == '[' {
		err := decodeStrict(data, &resources)
		return resources, err
	}
	var resource declarer.Resource
	if err := decodeStrict(data, &resource); err != nil {
		return nil, err
	}
	return []declarer.Resource{resource}, nil
}

// decodeStrict decodes JSON into value. Unknown fields and data after the end of the
// value are errors, which name the line.
func decodeStrict(data []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return errors.Errorf("not a resource or a list of resources: line %d: %v", lineNumber(data, errorOffset(err, decoder)), err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("line %d: there is data after the end", lineNumber(data, decoder.InputOffset()))
	}
	return nil
}

// errorOffset returns the byte offset in the data at which decoding failed.
func errorOffset(err error, decoder *json.Decoder) int64 {
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

// lineNumber returns the line, counted from 1, of a byte offset in the data.
func lineNumber(data []byte, offset int64) int {
	return 1 + bytes.Count(data[:min(int(offset), len(data))], []byte("\n"))
}

// ReadResources returns the resources of the manifests at paths, which are files or folders
// that are searched recursively, without validating the resources. A malformed
// manifest is an error.
func ReadResources(paths []string) ([]declarer.Resource, error) {
	files, err := findManifests(paths)
	if err != nil {
		return nil, err
	}
	manifests, err := readManifests(files)
	if err != nil {
		return nil, err
	}
	if len(manifests.problemLines) > 0 {
		return nil, errors.New(manifests.problemLines[0])
	}
	return manifests.resources, nil
}
