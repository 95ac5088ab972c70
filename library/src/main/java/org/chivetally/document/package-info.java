/** Strict parsing and validation of YAML and JSON documents; each mistake is reported with its place. */
package org.chivetally.document;
