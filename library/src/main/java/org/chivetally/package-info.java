/** The dispatcher as a library; the daemons only read settings and start what is here. */
package org.chivetally;
