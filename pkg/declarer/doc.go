// Package declarer defines the resources that operators declare and decides
// whether they are valid.
//
// The input is resources as the platform's object API stores them: a kind, a
// name and a JSON spec. The output is typed values and a list of problems, each
// of which names the resource, the field, the value and the reason. Decoding is
// strict: a field that the kind does not define is a problem. An invalid
// resource does not keep valid ones that do not refer to it from being accepted.
//
// The package keeps no state: the result of every function depends only on its
// arguments. A spec larger than MaxSpecBytes is rejected without being decoded.
package declarer
