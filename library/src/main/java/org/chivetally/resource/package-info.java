/** Resources that operators declare: their schemas, their table folded from the log, and its watches. */
package org.chivetally.resource;
