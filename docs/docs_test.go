// Package docs_test checks that the pages for operators and reviewers name what
// the code has.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The types whose constants the pages must list.
const (
	reasonType    = "Reason"
	reasonPackage = "btrequest"
	nameType      = "Name"
	namePackage   = "btassert"
)

// roots are the folders whose code counts.
var roots = []string{"../core", "../io", "../commands", "../cmd"}

// TestOperationsListsEveryReason compares the table of reasons with the code, in
// both directions.
func TestOperationsListsEveryReason(t *testing.T) {
	inCode := constants(t, reasonPackage, reasonType)
	assert.Assert(t, len(inCode) > 0, "no reason found in the code")
	compare(t, "OPERATIONS.md", "## Refusals and retries", inCode)
}

// TestInvariantsListsEveryAssertion compares the list of assertions with the
// code, in both directions.
func TestInvariantsListsEveryAssertion(t *testing.T) {
	inCode := constants(t, namePackage, nameType)
	assert.Assert(t, len(inCode) > 0, "no assertion found in the code")
	compare(t, "INVARIANTS.md", "## Every assertion", inCode)
}

// compare checks that the first cells of the section's tables are the values.
func compare(t *testing.T, page, section string, inCode map[string]string) {
	t.Helper()
	listed := cells(t, page, section)
	for _, value := range slices.Sorted(maps.Keys(inCode)) {
		if !listed[value] {
			t.Errorf("docs/%s, section %q: %q of %s is missing", page, section, value, inCode[value])
		}
	}
	for _, value := range slices.Sorted(maps.Keys(listed)) {
		if inCode[value] == "" {
			t.Errorf("docs/%s, section %q: %q is not in the code", page, section, value)
		}
	}
}

// word is a value in backquotes.
var word = regexp.MustCompile("`([a-z0-9_]+)`")

// cells returns the words in the first cells of the section's table rows.
func cells(t *testing.T, page, section string) map[string]bool {
	t.Helper()
	data, err := os.ReadFile(page)
	assert.NilError(t, err)
	_, rest, found := strings.Cut(string(data), "\n"+section+"\n")
	assert.Assert(t, found, "docs/%s has no section %q", page, section)
	text, _, _ := strings.Cut(rest, "\n## ")
	listed := map[string]bool{}
	for line := range strings.Lines(text) {
		columns := strings.Split(line, "|")
		if len(columns) < 3 {
			continue
		}
		for _, match := range word.FindAllStringSubmatch(columns[1], -1) {
			listed[match[1]] = true
		}
	}
	return listed
}

// constants returns the values of all constants of the type, with where each is
// declared.
func constants(t *testing.T, pkg, name string) map[string]string {
	t.Helper()
	found := map[string]string{}
	for _, root := range roots {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			return collect(path, pkg, name, found)
		})
		assert.NilError(t, err)
	}
	return found
}

// collect adds the constants of one file.
func collect(path, pkg, name string, found map[string]string) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	for _, declaration := range file.Decls {
		group, ok := declaration.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			value := spec.(*ast.ValueSpec)
			if !hasType(value.Type, file.Name.Name, pkg, name) {
				continue
			}
			for _, expression := range value.Values {
				if err := add(expression, files, found); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// add notes one constant's value.
func add(expression ast.Expr, files *token.FileSet, found map[string]string) error {
	literal, ok := expression.(*ast.BasicLit)
	if !ok {
		return nil
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return err
	}
	found[value] = files.Position(literal.Pos()).String()
	return nil
}

// hasType reports whether the expression names the type, from inside its package
// or from outside.
func hasType(expression ast.Expr, self, pkg, name string) bool {
	switch e := expression.(type) {
	case *ast.SelectorExpr:
		from, ok := e.X.(*ast.Ident)
		return ok && from.Name == pkg && e.Sel.Name == name
	case *ast.Ident:
		return self == pkg && e.Name == name
	}
	return false
}
