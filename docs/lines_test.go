package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// lineRoots are the packages of the processes on the users' platform.
var lineRoots = []string{"../io/btdirect", "../io/btrank", "../io/btlog", "../io/btisolation", "../commands/btdirectcmd"}

// TestOperationsListsEveryLine compares the table of log lines with the code, in
// both directions.
func TestOperationsListsEveryLine(t *testing.T) {
	inCode := map[string]string{}
	for _, root := range lineRoots {
		files, err := filepath.Glob(filepath.Join(root, "*.go"))
		assert.NilError(t, err)
		for _, path := range files {
			if !strings.HasSuffix(path, "_test.go") {
				logged(t, path, inCode)
			}
		}
	}
	assert.Assert(t, len(inCode) > 20, "%d lines found in the code", len(inCode))
	// What changes of the list are called is in a package of its own.
	changes(t, "../core/btinventory/btinventory.go", inCode)
	page, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	listed := listedLines(t, string(page))
	for line, where := range inCode {
		assert.Check(t, listed[line], "docs/OPERATIONS.md: the line %q of %s is missing", line, where)
	}
	for line := range listed {
		assert.Check(t, inCode[line] != "", "docs/OPERATIONS.md: the line %q is not in the code", line)
	}
}

// logged adds the messages that a file's calls of a logger have.
func logged(t *testing.T, path string, found map[string]string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		switch method.Sel.Name {
		case "Info", "Warn", "Error":
			assert.NilError(t, add(call.Args[0], files, found))
		}
		return true
	})
}

// changes adds the words for changes of the list.
func changes(t *testing.T, path string, found map[string]string) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, match := range regexp.MustCompile(`= "(target_[a-z]+)"`).FindAllStringSubmatch(string(data), -1) {
		found[match[1]] = path
	}
}

// listedLines returns the messages in the table of lines.
func listedLines(t *testing.T, page string) map[string]bool {
	t.Helper()
	_, rest, found := strings.Cut(page, "\n| line | written by |")
	assert.Assert(t, found, "no table of lines")
	_, rest, _ = strings.Cut(rest, "\n|---|")
	table, _, _ := strings.Cut(rest, "\n\n")
	listed := map[string]bool{}
	for row := range strings.Lines(table) {
		columns := strings.Split(row, "|")
		if len(columns) < 2 {
			continue
		}
		for _, match := range regexp.MustCompile("`([a-z_ ]+)`").FindAllStringSubmatch(columns[1], -1) {
			listed[match[1]] = true
		}
	}
	return listed
}
