/** Settings files of the daemons, checked as a whole before anything starts. */
package org.chivetally.settings;
