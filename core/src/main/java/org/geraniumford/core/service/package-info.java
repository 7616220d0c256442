/** Routes, services, customers and limits of a configuration, as one immutable table. */
package org.geraniumford.core.service;
