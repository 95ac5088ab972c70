/** Command line of chivetally: daemons, operators' and callers' commands, stand-ins. */
package org.chivetally.command;
