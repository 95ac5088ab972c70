/** Strict reading of YAML and JSON documents, which reports every mistake with its place. */
package org.chivetally.document;
