/** One line of key=value pairs for each logged event. */
package org.chivetally.logging;
