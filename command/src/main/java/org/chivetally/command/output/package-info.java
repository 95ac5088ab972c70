/** Tables, JSON and YAML on standard output. */
package org.chivetally.command.output;
