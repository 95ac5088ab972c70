/** Output formats of the command line: tables, JSON and YAML. */
package org.chivetally.command.output;
