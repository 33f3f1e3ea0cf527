package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// kind is the type of a YAML value.
type kind int

const (
	kindNull kind = iota
	kindMap
	kindList
	kindString
	kindInt
	kindFloat
	kindBool
)

func (k kind) String() string {
	return [...]string{"null", "map", "list", "string", "integer", "number", "boolean"}[k]
}

// node is a YAML value with its origin. Merged trees share scalars and lists with the
// files' trees, so scalars and lists must not be modified after parsing.
type node struct {
	kind   kind
	origin Origin
	// text is a scalar as it is written in the file.
	text   string
	fields map[string]*node
	items  []*node
}

const (
	// maxDepth bounds the nesting of values; the schema needs five levels.
	maxDepth = 16
	// maxIndentColumns bounds the indentation of a block value. The parser recurses once
	// per level of indentation, so this bounds its stack.
	maxIndentColumns = 128
	// maxFileKeys bounds the keys of one file, because the time that the YAML parser
	// takes grows with their square. Parsing 80,000 keys takes longer than a change
	// may take to come into effect.
	maxFileKeys = 10000
)

// fileParser turns one file into a tree.
type fileParser struct {
	name     string
	problems []Problem
}

// parseFile returns the tree of a file, nil when it is empty, and its problems.
func parseFile(file File) (*node, []Problem) {
	p := &fileParser{name: file.Name}
	root := p.parse(string(file.Content))
	return root, p.problems
}

func (p *fileParser) addProblem(kind ProblemKind, at *token.Token, key, text, remedy string) {
	problem := Problem{Kind: kind, File: p.name, Line: 1, Column: 1, Key: key, Text: text, Remedy: remedy}
	if at != nil && at.Position != nil {
		problem.Line = at.Position.Line
		problem.Column = at.Position.Column
	}
	p.problems = append(p.problems, problem)
}

// parse converts a panic of the YAML library into a syntax problem, because a file
// that the library cannot handle must not end the process.
func (p *fileParser) parse(content string) (root *node) {
	defer func() {
		if reason := recover(); reason != nil {
			p.addProblem(ProblemSyntax, nil, "", fmt.Sprintf("the YAML parser failed: %v", reason), "simplify the file")
			root = nil
		}
	}()
	// Some editors write a byte order mark before the text.
	tokens := lexer.Tokenize(strings.TrimPrefix(content, "\ufeff"))
	if !p.checkTokens(tokens) {
		return nil
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.addSyntax(err)
		return nil
	}
	return p.singleDocument(parsed)
}

func (p *fileParser) singleDocument(parsed *ast.File) *node {
	var body ast.Node
	for _, document := range parsed.Docs {
		if document.Body == nil {
			continue
		}
		if body != nil {
			p.addProblem(ProblemSyntax, document.Body.GetToken(), "", "the file has more than one document",
				"move each document to its own file")
			return nil
		}
		body = document.Body
	}
	if body == nil {
		return nil
	}
	root := p.convert(body, "", 0)
	if root == nil || root.kind == kindNull {
		return nil
	}
	if root.kind != kindMap {
		p.addProblem(ProblemWrongType, body.GetToken(), "", fmt.Sprintf("the file holds a %s", root.kind), "use a map of settings")
		return nil
	}
	return root
}

func (p *fileParser) addSyntax(err error) {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		p.addProblem(ProblemSyntax, syntax.Token, "", syntax.Message, "correct the YAML syntax")
		return
	}
	var typed yaml.Error
	if errors.As(err, &typed) {
		p.addProblem(ProblemSyntax, typed.GetToken(), "", typed.GetMessage(), "correct the YAML syntax")
		return
	}
	p.addProblem(ProblemSyntax, nil, "", err.Error(), "correct the YAML syntax")
}

// checkTokens refuses YAML features that the schema does not need and nesting that
// would exhaust the parser's stack.
func (p *fileParser) checkTokens(tokens token.Tokens) bool {
	flowDepth := 0
	entriesInLine := 0
	keys := 0
	line := 0
	for _, tk := range tokens {
		if tk.Position != nil && tk.Position.Line != line {
			line = tk.Position.Line
			entriesInLine = 0
		}
		switch tk.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
			p.addProblem(ProblemSyntax, tk, "", fmt.Sprintf("%q is a YAML feature that configuration files do not use", tk.Value),
				"write the value in full")
			return false
		case token.MappingStartType, token.SequenceStartType:
			flowDepth++
		case token.MappingEndType, token.SequenceEndType:
			flowDepth--
		case token.SequenceEntryType:
			entriesInLine++
		case token.MappingValueType:
			keys++
		}
		if keys > maxFileKeys {
			p.addProblem(ProblemTooLarge, tk, "", fmt.Sprintf("the file has more than %d keys", maxFileKeys), "split the file")
			return false
		}
		indented := tk.Position != nil && tk.Position.IndentNum > maxIndentColumns
		if flowDepth > maxDepth || entriesInLine > maxDepth || indented {
			p.addProblem(ProblemSyntax, tk, "", "values are nested too deeply", fmt.Sprintf("nest at most %d levels", maxDepth))
			return false
		}
	}
	return true
}

func (p *fileParser) convert(value ast.Node, path string, depth int) *node {
	if value == nil {
		return &node{kind: kindNull, origin: Origin{File: p.name}}
	}
	if depth > maxDepth {
		p.addProblem(ProblemSyntax, value.GetToken(), path, "values are nested too deeply", fmt.Sprintf("nest at most %d levels", maxDepth))
		return nil
	}
	n := &node{origin: p.origin(value.GetToken())}
	switch v := value.(type) {
	case *ast.MappingNode:
		return p.convertMap(n, v, path, depth)
	case *ast.MappingValueNode:
		return p.convertMap(n, v, path, depth)
	case *ast.SequenceNode:
		n.kind = kindList
		for _, item := range v.Values {
			if child := p.convert(item, path, depth+1); child != nil {
				n.items = append(n.items, child)
			}
		}
		return n
	case *ast.LiteralNode:
		n.kind = kindString
		n.text = v.Value.Value
		return n
	default:
		return p.convertScalar(n, value, path)
	}
}

func (p *fileParser) convertScalar(n *node, value ast.Node, path string) *node {
	tk := value.GetToken()
	n.text = tk.Value
	switch value.(type) {
	case *ast.NullNode:
		n.kind = kindNull
		if tk.Type != token.NullType {
			p.addProblem(ProblemMissing, tk, path, "the key has no value", "write null to remove the key, {} for no entries, or remove the line")
		}
	case *ast.BoolNode:
		n.kind = kindBool
	case *ast.IntegerNode:
		n.kind = kindInt
	case *ast.FloatNode:
		n.kind = kindFloat
	case *ast.StringNode:
		n.kind = kindString
	default:
		p.addProblem(ProblemWrongType, tk, path, fmt.Sprintf("%q is not a supported value", tk.Value), "use a map, list, string, number or boolean")
		return nil
	}
	return n
}

func (p *fileParser) convertMap(n *node, m ast.MapNode, path string, depth int) *node {
	n.kind = kindMap
	n.fields = make(map[string]*node)
	for iter := m.MapRange(); iter.Next(); {
		keyToken := iter.Key().GetToken()
		key := keyToken.Value
		child := p.convert(iter.Value(), join(path, key), depth+1)
		if earlier, ok := n.fields[key]; ok {
			p.addProblem(ProblemDuplicateKey, keyToken, join(path, key),
				fmt.Sprintf("the key is already set on line %d of this file", earlier.origin.Line), "keep one of the two")
			continue
		}
		if child == nil {
			continue
		}
		child.origin = p.origin(keyToken)
		n.fields[key] = child
	}
	return n
}

func (p *fileParser) origin(tk *token.Token) Origin {
	origin := Origin{File: p.name}
	if tk != nil && tk.Position != nil {
		origin.Line = tk.Position.Line
		origin.Column = tk.Position.Column
	}
	return origin
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// merge merges a later file's tree into the accumulated tree and returns the result:
// maps are merged by key, any other value replaces the earlier one, and null removes
// it. It modifies the maps of the accumulated tree, which copyWithoutNull created, so
// that the time to merge many files is linear in their content.
func merge(accumulated, later *node) *node {
	if later == nil {
		return accumulated
	}
	if accumulated == nil || accumulated.kind != kindMap || later.kind != kindMap {
		return copyWithoutNull(later)
	}
	accumulated.origin = later.origin
	for key, value := range later.fields {
		if value.kind == kindNull {
			delete(accumulated.fields, key)
			continue
		}
		accumulated.fields[key] = merge(accumulated.fields[key], value)
	}
	return accumulated
}

// copyWithoutNull copies the maps of a value without their null entries. Scalars and
// lists are shared, not copied.
func copyWithoutNull(n *node) *node {
	if n.kind != kindMap {
		return n
	}
	kept := &node{kind: kindMap, origin: n.origin, fields: make(map[string]*node, len(n.fields))}
	for key, value := range n.fields {
		if value.kind != kindNull {
			kept.fields[key] = copyWithoutNull(value)
		}
	}
	return kept
}
